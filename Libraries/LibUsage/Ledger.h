// The agent's side: counts work where it runs and keeps each counter until a
// keeper has it in the key-value service.
#pragma once

#include <string>

#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

struct Ledger {
  std::string agent;
  uint64_t incarnation = 0;
  Rows rows;
  // The newest window in which anything was counted.
  Window newest = 0;
};

// The window of a wall-clock time.
Window WindowAt(std::chrono::system_clock::time_point time);

// The window to count in at a wall-clock time. It never goes back.
//
// Failure: the time of day jumps ahead into the next window, the counters of
// the one before are stored and forgotten, and the time jumps back. Counted
// again from nothing under the same source, work would hide behind the larger
// value that is stored. It shows as missing work. Work of the time between is
// counted in the later window instead.
Window CurrentWindow(Ledger& ledger,
                     std::chrono::system_clock::time_point time);

// What work was done for.
struct Cause {
  std::string owner;
  // The catalogue entry.
  std::string entry;
  std::string service = {};
};

// Counts work.
void CountWork(Ledger& ledger,
               const Cause& cause,
               Window window,
               const Counts& work);

// What to send to an owner's keeper now: all counters that are not known to be
// stored. Sending it twice, or to two keepers, adds nothing.
Rows ReportFor(const Ledger& ledger, const std::string& owner);

// A keeper says that these rows are in the key-value service. Counters of
// closed windows that are covered are forgotten; the others are sent again.
void HandleStored(Ledger& ledger, const Rows& stored, Window current);

}  // namespace bramleyspan::usage
