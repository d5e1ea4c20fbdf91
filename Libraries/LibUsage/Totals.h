// Totals for operators: which catalogue entry used how much, when and on which
// VM; and a check of these totals against the entry processes' own counts.
#pragma once

#include <string>
#include <vector>

#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// The work of one catalogue entry in one window on one agent's VM.
struct UsageLine {
  std::string owner;
  std::string entry;
  Window window = 0;
  std::string agent;
  Counts counts;
};

// Returns the usage summed over the incarnations of each agent. `rows` must be
// merged from all documents first: two aggregators may both hold a row.
std::vector<UsageLine> ListUsage(const Rows& rows);

// Returns all work by catalogue entry, summed over windows and agents.
std::map<std::string, Counts> TotalsByEntry(const Rows& rows);

// A catalogue entry whose counts of requests differ by more than a killed
// process explains.
struct Mismatch {
  std::string entry;
  uint64_t sent_by_entries = 0;
  uint64_t counted_by_agents = 0;
};

// Compares the requests that entry processes sent with those that agents
// counted, and returns the catalogue entries that differ. A difference up to
// `tolerated` requests (in flight, or lost with a killed process) is no
// mismatch.
std::vector<Mismatch> Reconcile(
    const std::map<std::string, uint64_t>& sent_by_entries,
    const std::map<std::string, Counts>& totals,
    uint64_t tolerated);

}  // namespace bramleyspan::usage
