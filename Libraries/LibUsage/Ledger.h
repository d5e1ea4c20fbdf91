// The ledger counts work in the process that does it and keeps each counter
// until an aggregator has stored it in the key-value service.
#pragma once

#include <string>

#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

struct Ledger {
  std::string agent;
  uint64_t incarnation = 0;
  Rows rows;
  // The newest window in which work was counted.
  Window newest = 0;
};

// Returns the window of a wall-clock time.
Window WindowAt(std::chrono::system_clock::time_point time);

// Returns the window to count in at a wall-clock time. It never goes back;
// after a clock jump, work is counted in the later window.
//
// Failure: the clock jumps ahead into the next window, the counters of the
// previous window are stored and removed, and the clock jumps back. A counter
// that started again from zero under the same source would stay below the
// larger stored value, and its work would be lost.
Window CurrentWindow(Ledger& ledger,
                     std::chrono::system_clock::time_point time);

// What the work was done for.
struct Cause {
  std::string owner;
  // The catalogue entry.
  std::string entry;
  std::string service = {};
};

// Adds work to the counter of its cause and window.
void CountWork(Ledger& ledger,
               const Cause& cause,
               Window window,
               const Counts& work);

// Returns the rows to send to an owner's aggregator: all counters that are not
// known to be stored. Sending them twice or to two aggregators counts nothing
// twice.
Rows ReportFor(const Ledger& ledger, const std::string& owner);

// Handles an aggregator's report that these rows are stored in the key-value
// service. Counters of closed windows that the stored values cover are removed;
// the others are sent again.
void HandleStored(Ledger& ledger, const Rows& stored, Window current);

}  // namespace bramleyspan::usage
