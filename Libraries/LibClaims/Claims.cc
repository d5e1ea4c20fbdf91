#include "LibClaims/Claims.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include "Kernel/Digest.h"

namespace bramleyspan::claims {

namespace {

constexpr size_t kKeyParts = 5;
constexpr int kHexadecimal = 16;

uint64_t EpochAt(const ClaimRegistry& registry, TimePoint now) {
  return static_cast<uint64_t>((now - registry.started) /
                               registry.settings.epoch_length);
}

// Returns the oldest epoch whose keys are within their retention.
uint64_t OldestEpochByAge(const ClaimRegistry& registry, TimePoint now) {
  const uint64_t current = EpochAt(registry, now);
  const uint64_t kept = registry.settings.retained_epochs;
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

// The code covers the owner and the catalogue entry: nobody else can use a
// leaked key.
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
    case ClaimState::kAnswerGone:
      return ClaimDecision::kIsAnswerGone;
    case ClaimState::kRefused:
      return ClaimDecision::kIsRefused;
    case ClaimState::kUnknown:
      return ClaimDecision::kIsUnknown;
  }
  return ClaimDecision::kIsUnknown;
}

// A template, so that it serves const and mutable registries.
template <typename Registry>
auto FindRecord(Registry& registry, const std::string& text)
    -> decltype(&registry.records.begin()->second.begin()->second) {
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

// Returns the record of a key whose call has not ended. Every end of a call
// passes through here, so that a key that was refused or has ended keeps its
// state whatever arrives later.
ClaimRecord* FindRunning(ClaimRegistry& registry, const std::string& text) {
  ClaimRecord* record = FindRecord(registry, text);
  const bool is_running =
      record != nullptr && record->state == ClaimState::kRunning;
  return is_running ? record : nullptr;
}

void DropAnswer(ClaimRegistry& registry, ClaimRecord& record) {
  registry.answer_bytes -= record.answer.body.size();
  record.answer = {};
  record.state = ClaimState::kAnswerGone;
}

// Evicts answers, the oldest first. The records stay, so that the agent still
// knows that the calls ran.
void EvictAnswers(ClaimRegistry& registry) {
  while (registry.answer_bytes > registry.settings.most_answer_bytes) {
    ClaimRecord* oldest = FindRecord(registry, registry.kept_answers.front());
    registry.kept_answers.pop_front();
    if (oldest != nullptr && oldest->state == ClaimState::kDone) {
      DropAnswer(registry, *oldest);
    }
  }
}

void RemoveEpochsBefore(ClaimRegistry& registry, uint64_t oldest) {
  registry.oldest_epoch = std::max(registry.oldest_epoch, oldest);
  const auto end = registry.records.lower_bound(registry.oldest_epoch);
  for (auto epoch = registry.records.begin(); epoch != end;) {
    std::erase_if(epoch->second, [&](const auto& item) {
      const ClaimRecord& record = item.second;
      if (record.state == ClaimState::kRunning) {
        return false;
      }
      registry.answer_bytes -= record.answer.body.size();
      --registry.record_count;
      return true;
    });
    epoch = epoch->second.empty() ? registry.records.erase(epoch)
                                  : std::next(epoch);
  }
  while (!registry.kept_answers.empty() &&
         FindRecord(registry, registry.kept_answers.front()) == nullptr) {
    registry.kept_answers.pop_front();
  }
}

// Makes room for one more key by removing the oldest epochs, but never the
// newest: a burst that fills a single epoch is refused instead.
bool MakeRoom(ClaimRegistry& registry) {
  while (registry.record_count >= registry.settings.most_records) {
    const auto oldest = registry.records.lower_bound(registry.oldest_epoch);
    const bool is_newest = oldest == registry.records.end() ||
                           std::next(oldest) == registry.records.end();
    if (is_newest) {
      return false;
    }
    RemoveEpochsBefore(registry, oldest->first + 1);
  }
  return true;
}

bool is_authentic(const ClaimRegistry& registry,
                  const ClaimKey& key,
                  const ClaimedCall& call) {
  const std::string prefix = call.key.substr(0, call.key.rfind('.'));
  return is_equal_in_constant_time(
      key.authentication_code,
      CodeFor(registry, prefix, call.owner, call.entry));
}

}  // namespace

Result<ClaimKey> ParseClaimKey(std::string_view text) {
  std::array<std::string_view, kKeyParts> parts;
  for (size_t i = 0; i < kKeyParts; ++i) {
    const size_t dot = text.find('.');
    const bool is_last = i + 1 == kKeyParts;
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
                         const ClaimedCall& call,
                         TimePoint now) {
  const auto parsed = ParseClaimKey(call.key);
  if (parsed.has_error()) {
    return ClaimDecision::kIsForged;
  }
  const ClaimKey& key = parsed.value();
  // Only the agent that issued a key may answer "not run". A restarted agent
  // does not know what its previous incarnation forwarded; running the key
  // again could run the call twice. So another incarnation, like any other
  // agent, answers "unknown".
  if (key.agent != registry.agent || key.incarnation != registry.incarnation) {
    return ClaimDecision::kIsUnknown;
  }
  if (!is_authentic(registry, key, call)) {
    return ClaimDecision::kIsForged;
  }
  if (const ClaimRecord* record = FindRecord(registry, call.key)) {
    // A caller that uses one key for two requests must not get the answer of
    // the other request.
    return record->fingerprint == call.fingerprint
               ? DecisionFor(record->state)
               : ClaimDecision::kIsOtherCall;
  }
  // A key whose epoch was removed may have run: it must not run again.
  const uint64_t oldest =
      std::max(registry.oldest_epoch, OldestEpochByAge(registry, now));
  if (key.epoch < oldest) {
    return ClaimDecision::kIsUnknown;
  }
  // A key that cannot be stored must neither run nor get the answer "not run":
  // a duplicate of it would find no record of either.
  if (!MakeRoom(registry)) {
    return ClaimDecision::kIsFull;
  }
  if (key.epoch < registry.oldest_epoch) {
    return ClaimDecision::kIsUnknown;
  }
  registry.records[key.epoch][call.key].fingerprint = call.fingerprint;
  ++registry.record_count;
  return ClaimDecision::kRun;
}

void RefuseClaim(ClaimRegistry& registry, const std::string& key) {
  if (ClaimRecord* record = FindRunning(registry, key)) {
    record->state = ClaimState::kRefused;
  }
}

void AppendToAnswer(const ClaimSettings& settings,
                    StoredAnswer& answer,
                    std::string_view bytes) {
  if (answer.body.size() + bytes.size() > settings.largest_answer) {
    answer.is_too_large = true;
    answer.body = {};
  }
  if (!answer.is_too_large) {
    answer.body.append(bytes);
  }
}

void FinishClaim(ClaimRegistry& registry,
                 const std::string& key,
                 StoredAnswer answer) {
  ClaimRecord* record = FindRunning(registry, key);
  if (record == nullptr) {
    return;
  }
  if (answer.is_too_large) {
    record->state = ClaimState::kAnswerGone;
    return;
  }
  registry.answer_bytes += answer.body.size();
  record->state = ClaimState::kDone;
  record->answer = std::move(answer);
  registry.kept_answers.push_back(key);
  EvictAnswers(registry);
}

void MarkClaimUnknown(ClaimRegistry& registry, const std::string& key) {
  if (ClaimRecord* record = FindRunning(registry, key)) {
    record->state = ClaimState::kUnknown;
  }
}

const ClaimRecord* FindClaim(const ClaimRegistry& registry,
                             const std::string& key) {
  return FindRecord(registry, key);
}

void RemoveExpiredEpochs(ClaimRegistry& registry, TimePoint now) {
  RemoveEpochsBefore(registry, OldestEpochByAge(registry, now));
}

Duration RetentionOf(const ClaimRegistry& registry) {
  return registry.settings.epoch_length *
         static_cast<int64_t>(registry.settings.retained_epochs);
}

}  // namespace bramleyspan::claims
