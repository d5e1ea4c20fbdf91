// The last word of a stopping agent on its claim keys. A sealed registry runs
// no key any more, so that whoever holds the seal can say of a key that it did
// not run, after the agent is gone.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "LibClaims/Claims.h"

namespace bramleyspan::claims {

// What became of all keys of one agent incarnation.
struct ClosingRecord {
  std::string agent;
  uint64_t incarnation = 0;
  // Keys of older epochs are forgotten and may have run.
  uint64_t oldest_epoch = 0;
  // Nonces of the remembered keys that may have run.
  std::set<std::string> may_have_run;
};

// Seals a registry. The agent must refuse every new key by now, and no call
// may be running; a key that is nevertheless running counts as one that may
// have run.
ClosingRecord MakeClosingRecord(const ClaimRegistry& registry);

// The seals that a process was given.
struct ClosingRecords {
  // A key is of use for no longer than an agent remembers it.
  Duration keep = std::chrono::minutes(15);
  std::map<std::pair<std::string, uint64_t>, ClosingRecord> closing_records;
  std::map<std::pair<std::string, uint64_t>, TimePoint> received;
};

// Takes a seal; returns false if it was known.
bool AddClosingRecord(ClosingRecords& book,
                      ClosingRecord closing_record,
                      TimePoint now);

void RemoveOldClosingRecords(ClosingRecords& book, TimePoint now);

enum class ClosingRecordDecision {
  // Only the key's agent can tell, if anybody.
  kNoClosingRecord,
  // The call did not run and never will.
  kNotRun,
  // The call may have run; nobody has its answer any more.
  kMayHaveRun,
};

ClosingRecordDecision DecideByClosingRecord(const ClosingRecords& book,
                                            const ClaimKey& key);

}  // namespace bramleyspan::claims
