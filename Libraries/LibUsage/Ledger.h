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
};

// The window of a wall-clock time.
Window WindowAt(std::chrono::system_clock::time_point time);

// Counts work of a catalogue entry.
void CountWork(Ledger& ledger,
               const std::string& owner,
               const std::string& entry,
               Window window,
               const Counts& work);

// What to send to an owner's keeper now: all counters that are not known to be
// stored. Sending it twice, or to two keepers, adds nothing.
Rows ReportFor(const Ledger& ledger, const std::string& owner);

// A keeper says that these rows are in the key-value service. Counters of
// closed windows that are covered are forgotten; the others are sent again.
void HandleStored(Ledger& ledger, const Rows& stored, Window current);

}  // namespace bramleyspan::usage
