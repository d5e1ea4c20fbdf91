// What operators read: which entry, when, how much, on what; and whether the
// entries' own counts agree.
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

// Adds the incarnations of each agent up. `rows` must be joined from all
// documents first: two keepers may both hold a row.
std::vector<UsageLine> ListUsage(const Rows& rows);

// All work of an owner's catalogue entry, over windows and agents.
std::map<std::string, Counts> TotalsByEntry(const Rows& rows);

// An entry whose requests differ by more than a kill explains.
struct Mismatch {
  std::string entry;
  uint64_t sent_by_entries = 0;
  uint64_t counted_by_agents = 0;
};

// Compares the requests that the entry VMs handed over with those that agents
// counted. A difference up to `tolerated` requests (what was under way, and
// what a kill may have lost) is no mismatch.
std::vector<Mismatch> Reconcile(
    const std::map<std::string, uint64_t>& sent_by_entries,
    const std::map<std::string, Counts>& totals,
    uint64_t tolerated);

}  // namespace bramleyspan::usage
