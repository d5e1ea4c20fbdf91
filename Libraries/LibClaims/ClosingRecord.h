// The final record of a stopping agent about its claim keys. After it is made
// the agent runs no more calls, so that any process that holds the record can
// prove that a key did not run, even after the agent has stopped.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "LibClaims/Claims.h"

namespace bramleyspan::claims {

// The state of all keys of one agent incarnation.
struct ClosingRecord {
  std::string agent;
  uint64_t incarnation = 0;
  // Keys of earlier epochs were removed and may have run.
  uint64_t oldest_epoch = 0;
  // Nonces of the retained keys that may have run.
  std::set<std::string> may_have_run;
};

// Returns the closing record of a registry. The agent must already refuse every
// new key, and no call may be running; a key that still is counts as one that
// may have run.
ClosingRecord MakeClosingRecord(const ClaimRegistry& registry);

// The closing records that a process has received.
struct ClosingRecords {
  // A record is kept for this time. A key is of no use for longer, because
  // agents retain keys for less.
  Duration keep = std::chrono::minutes(15);
  std::map<std::pair<std::string, uint64_t>, ClosingRecord> closing_records;
  std::map<std::pair<std::string, uint64_t>, TimePoint> received;
};

// Adds a closing record; returns false if it was already present.
bool AddClosingRecord(ClosingRecords& records,
                      ClosingRecord closing_record,
                      TimePoint now);

void RemoveOldClosingRecords(ClosingRecords& records, TimePoint now);

enum class ClosingRecordDecision {
  // No record of the key's agent: only the agent itself can decide.
  kNoClosingRecord,
  // The call did not run and never will.
  kNotRun,
  // The call may have run; its answer is lost.
  kMayHaveRun,
};

ClosingRecordDecision DecideByClosingRecord(const ClosingRecords& records,
                                            const ClaimKey& key);

}  // namespace bramleyspan::claims
