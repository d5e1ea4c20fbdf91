#include "LibClaims/Seal.h"

namespace bramleyspan::claims {

ClaimsSeal SealClaims(const ClaimRegistry& registry) {
  ClaimsSeal seal{.agent = registry.agent,
                  .incarnation = registry.incarnation,
                  .oldest_epoch = registry.oldest_epoch};
  for (const auto& [epoch, records] : registry.records) {
    for (const auto& [text, record] : records) {
      const auto key = ParseClaimKey(text);
      if (record.state != ClaimState::kRefused && key.has_value()) {
        seal.may_have_run.insert(key.value().nonce);
      }
    }
  }
  return seal;
}

bool AddSeal(SealBook& book, ClaimsSeal seal, TimePoint now) {
  const std::pair id{seal.agent, seal.incarnation};
  if (book.seals.contains(id)) {
    return false;
  }
  book.received.emplace(id, now);
  book.seals.emplace(id, std::move(seal));
  return true;
}

void ForgetOldSeals(SealBook& book, TimePoint now) {
  std::erase_if(book.received, [&](const auto& item) {
    const bool is_old = item.second + book.keep <= now;
    if (is_old) {
      book.seals.erase(item.first);
    }
    return is_old;
  });
}

// The code of the key is not checked: a forged key did not run either.
SealDecision DecideBySeal(const SealBook& book, const ClaimKey& key) {
  const auto found = book.seals.find({key.agent, key.incarnation});
  if (found == book.seals.end()) {
    return SealDecision::kNotSealed;
  }
  const ClaimsSeal& seal = found->second;
  const bool may_have_run =
      key.epoch < seal.oldest_epoch || seal.may_have_run.contains(key.nonce);
  return may_have_run ? SealDecision::kMayHaveRun : SealDecision::kNotRun;
}

}  // namespace bramleyspan::claims
