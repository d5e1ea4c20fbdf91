#include "LibClaims/ClosingRecord.h"

namespace bramleyspan::claims {

ClosingRecord MakeClosingRecord(const ClaimRegistry& registry) {
  ClosingRecord closing_record{.agent = registry.agent,
                               .incarnation = registry.incarnation,
                               .oldest_epoch = registry.oldest_epoch};
  for (const auto& [epoch, records] : registry.records) {
    for (const auto& [text, record] : records) {
      const auto key = ParseClaimKey(text);
      if (record.state != ClaimState::kRefused && key.has_value()) {
        closing_record.may_have_run.insert(key.value().nonce);
      }
    }
  }
  return closing_record;
}

bool AddClosingRecord(ClosingRecords& records,
                      ClosingRecord closing_record,
                      TimePoint now) {
  const std::pair id{closing_record.agent, closing_record.incarnation};
  if (records.closing_records.contains(id)) {
    return false;
  }
  records.received.emplace(id, now);
  records.closing_records.emplace(id, std::move(closing_record));
  return true;
}

void RemoveOldClosingRecords(ClosingRecords& records, TimePoint now) {
  std::erase_if(records.received, [&](const auto& item) {
    const bool is_old = item.second + records.keep <= now;
    if (is_old) {
      records.closing_records.erase(item.first);
    }
    return is_old;
  });
}

// The key's authentication code is not checked: a forged key did not run
// either.
ClosingRecordDecision DecideByClosingRecord(const ClosingRecords& records,
                                            const ClaimKey& key) {
  const auto found = records.closing_records.find({key.agent, key.incarnation});
  if (found == records.closing_records.end()) {
    return ClosingRecordDecision::kNoClosingRecord;
  }
  const ClosingRecord& closing_record = found->second;
  const bool may_have_run = key.epoch < closing_record.oldest_epoch ||
                            closing_record.may_have_run.contains(key.nonce);
  return may_have_run ? ClosingRecordDecision::kMayHaveRun
                      : ClosingRecordDecision::kNotRun;
}

}  // namespace bramleyspan::claims
