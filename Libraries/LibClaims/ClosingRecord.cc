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

bool AddClosingRecord(ClosingRecords& book,
                      ClosingRecord closing_record,
                      TimePoint now) {
  const std::pair id{closing_record.agent, closing_record.incarnation};
  if (book.closing_records.contains(id)) {
    return false;
  }
  book.received.emplace(id, now);
  book.closing_records.emplace(id, std::move(closing_record));
  return true;
}

void RemoveOldClosingRecords(ClosingRecords& book, TimePoint now) {
  std::erase_if(book.received, [&](const auto& item) {
    const bool is_old = item.second + book.keep <= now;
    if (is_old) {
      book.closing_records.erase(item.first);
    }
    return is_old;
  });
}

// The code of the key is not checked: a forged key did not run either.
ClosingRecordDecision DecideByClosingRecord(const ClosingRecords& book,
                                            const ClaimKey& key) {
  const auto found = book.closing_records.find({key.agent, key.incarnation});
  if (found == book.closing_records.end()) {
    return ClosingRecordDecision::kNoClosingRecord;
  }
  const ClosingRecord& closing_record = found->second;
  const bool may_have_run = key.epoch < closing_record.oldest_epoch ||
                            closing_record.may_have_run.contains(key.nonce);
  return may_have_run ? ClosingRecordDecision::kMayHaveRun
                      : ClosingRecordDecision::kNotRun;
}

}  // namespace bramleyspan::claims
