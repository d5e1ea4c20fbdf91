#include "LibClaims/Claims.h"

#include <array>
#include <charconv>

#include "Kernel/Digest.h"

namespace bramleyspan::claims {

namespace {

constexpr size_t kParts = 5;
constexpr int kHexadecimal = 16;

uint64_t EpochAt(const ClaimRegistry& registry, TimePoint now) {
  return static_cast<uint64_t>((now - registry.started) /
                               registry.settings.epoch_length);
}

// The oldest epoch whose keys are still remembered.
uint64_t OldestEpoch(const ClaimRegistry& registry, TimePoint now) {
  const uint64_t current = EpochAt(registry, now);
  const uint64_t kept = registry.settings.remembered_epochs;
  return current > kept ? current - kept : 0;
}

std::string ToHex(uint64_t number) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 number, kHexadecimal);
  return {digits.data(), end.ptr};
}

Result<uint64_t> ParseHex(std::string_view text) {
  uint64_t number = 0;
  const auto [end, failure] = std::from_chars(
      text.data(), text.data() + text.size(), number, kHexadecimal);
  if (failure != std::errc{} || end != text.data() + text.size()) {
    return Fail(ErrorCode::kMalformedRequest, "claim key",
                "a part is no hexadecimal number");
  }
  return number;
}

// The code covers whose key it is: a key that leaked is of no use to others.
std::string CodeFor(const ClaimRegistry& registry,
                    const std::string& prefix,
                    const std::string& owner,
                    const std::string& entry) {
  return AuthenticationCode(registry.secret,
                            prefix + "\n" + owner + "\n" + entry);
}

ClaimDecision DecisionFor(ClaimState state) {
  switch (state) {
    case ClaimState::kRunning:
      return ClaimDecision::kIsRunning;
    case ClaimState::kDone:
      return ClaimDecision::kIsDone;
    case ClaimState::kRefused:
      return ClaimDecision::kIsRefused;
    case ClaimState::kUnknown:
      return ClaimDecision::kIsUnknown;
  }
  return ClaimDecision::kIsUnknown;
}

ClaimRecord* FindRecord(ClaimRegistry& registry, const std::string& text) {
  const auto key = ParseClaimKey(text);
  if (key.has_error()) {
    return nullptr;
  }
  const auto epoch = registry.records.find(key.value().epoch);
  if (epoch == registry.records.end()) {
    return nullptr;
  }
  const auto record = epoch->second.find(text);
  return record == epoch->second.end() ? nullptr : &record->second;
}

}  // namespace

Result<ClaimKey> ParseClaimKey(std::string_view text) {
  std::array<std::string_view, kParts> parts;
  for (size_t i = 0; i < kParts; ++i) {
    const size_t dot = text.find('.');
    const bool is_last = i + 1 == kParts;
    if (is_last != (dot == std::string_view::npos)) {
      return Fail(ErrorCode::kMalformedRequest, "claim key",
                  "does not have five parts");
    }
    parts[i] = text.substr(0, dot);
    text.remove_prefix(is_last ? text.size() : dot + 1);
  }
  ClaimKey key;
  key.agent = parts[0];
  key.incarnation = TRY(ParseHex(parts[1]));
  key.epoch = TRY(ParseHex(parts[2]));
  key.nonce = parts[3];
  key.authentication_code = parts[4];
  return key;
}

std::string IssueClaim(const ClaimRegistry& registry,
                       const std::string& owner,
                       const std::string& entry,
                       const std::string& nonce,
                       TimePoint now) {
  const std::string prefix = registry.agent + "." +
                             ToHex(registry.incarnation) + "." +
                             ToHex(EpochAt(registry, now)) + "." + nonce;
  return prefix + "." + CodeFor(registry, prefix, owner, entry);
}

ClaimDecision AdmitClaim(ClaimRegistry& registry,
                         const std::string& text,
                         const std::string& owner,
                         const std::string& entry,
                         TimePoint now) {
  const auto parsed = ParseClaimKey(text);
  if (parsed.has_error() || parsed.value().agent != registry.agent) {
    return ClaimDecision::kIsForged;
  }
  const ClaimKey& key = parsed.value();
  // A restarted agent has forgotten what its predecessor forwarded. Running
  // the key again could run the call twice; the new incarnation says unknown.
  if (key.incarnation != registry.incarnation) {
    return ClaimDecision::kIsUnknown;
  }
  const std::string prefix = text.substr(0, text.rfind('.'));
  if (!is_equal_in_constant_time(key.authentication_code,
                                 CodeFor(registry, prefix, owner, entry))) {
    return ClaimDecision::kIsForged;
  }
  // A key whose epoch was forgotten may have run: it must not run again.
  if (key.epoch < OldestEpoch(registry, now)) {
    return ClaimDecision::kIsUnknown;
  }
  auto& epoch = registry.records[key.epoch];
  const auto [record, is_new] = epoch.try_emplace(text);
  return is_new ? ClaimDecision::kRun : DecisionFor(record->second.state);
}

void RefuseClaim(ClaimRegistry& registry, const std::string& text) {
  const auto key = ParseClaimKey(text);
  if (key.has_error()) {
    return;
  }
  registry.records[key.value().epoch][text].state = ClaimState::kRefused;
}

void FinishClaim(ClaimRegistry& registry,
                 const std::string& text,
                 StoredAnswer answer) {
  ClaimRecord* record = FindRecord(registry, text);
  if (record == nullptr) {
    return;
  }
  record->state = ClaimState::kDone;
  record->answer = std::move(answer);
}

void LoseClaim(ClaimRegistry& registry, const std::string& text) {
  ClaimRecord* record = FindRecord(registry, text);
  if (record != nullptr) {
    record->state = ClaimState::kUnknown;
  }
}

const ClaimRecord* FindClaim(const ClaimRegistry& registry,
                             const std::string& text) {
  return FindRecord(const_cast<ClaimRegistry&>(registry), text);
}

void ForgetOldEpochs(ClaimRegistry& registry, TimePoint now) {
  const auto oldest = registry.records.lower_bound(OldestEpoch(registry, now));
  registry.records.erase(registry.records.begin(), oldest);
}

Duration RetentionOf(const ClaimRegistry& registry) {
  return registry.settings.epoch_length *
         static_cast<int64_t>(registry.settings.remembered_epochs);
}

}  // namespace bramleyspan::claims
