// At-most-once execution. A claim key names the one agent incarnation that
// decides about its call; that agent keeps in memory what became of each key.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "Kernel/Time.h"

namespace bramleyspan::claims {

// How long an epoch lasts, and how many epochs back keys are remembered.
struct ClaimSettings {
  Duration epoch_length = std::chrono::minutes(1);
  uint64_t remembered_epochs = 10;
};

// A claim key in its parts.
struct ClaimKey {
  std::string agent;
  uint64_t incarnation = 0;
  uint64_t epoch = 0;
  std::string nonce;
  std::string authentication_code;

  auto operator<=>(const ClaimKey&) const = default;
};

// An answer kept so that a repeated call gets it instead of running again.
struct StoredAnswer {
  uint16_t status = 0;
  std::string content_type;
  std::string body;
};

enum class ClaimState {
  // The call was forwarded and has not ended.
  kRunning,
  // The call ran and its whole answer is kept.
  kDone,
  // The call was forwarded and nobody knows how it ended.
  kUnknown,
  // The caller was told "not run"; the key can never run.
  kRefused,
};

// What the agent remembers of one key.
struct ClaimRecord {
  ClaimState state = ClaimState::kRunning;
  StoredAnswer answer;
};

// All keys of one agent incarnation.
struct ClaimRegistry {
  ClaimSettings settings;
  std::string agent;
  uint64_t incarnation = 0;
  std::string secret;
  TimePoint started;
  // Records by epoch, so that a whole epoch is forgotten at once.
  std::map<uint64_t, std::map<std::string, ClaimRecord>> records;
};

enum class ClaimDecision {
  // Forward the call; the key is marked as running.
  kRun,
  // The call is running; ask again later.
  kIsRunning,
  // The call ran; answer with the record's answer.
  kIsDone,
  // The key was burnt by an earlier "not run"; it did not and will not run.
  kIsRefused,
  // The key belongs to a forgotten epoch or incarnation, or the call ended
  // unknown: nobody can tell whether it ran.
  kIsUnknown,
  // The key was not issued by this agent to this owner's entry.
  kIsForged,
};

// Parses a key. Fails with kMalformedRequest.
Result<ClaimKey> ParseClaimKey(std::string_view text);

// Issues a key for an owner's catalogue entry; `nonce` is random hexadecimal.
std::string IssueClaim(const ClaimRegistry& registry,
                       const std::string& owner,
                       const std::string& entry,
                       const std::string& nonce,
                       TimePoint now);

// Decides about a call with a key and marks the key as running for kRun.
ClaimDecision AdmitClaim(ClaimRegistry& registry,
                         const std::string& text,
                         const std::string& owner,
                         const std::string& entry,
                         TimePoint now);

// Burns a key that AdmitClaim let run but that was never forwarded, or one
// that was never seen. After this the caller may be told "not run".
void RefuseClaim(ClaimRegistry& registry, const std::string& text);

// Records the whole answer of a key that ran.
void FinishClaim(ClaimRegistry& registry,
                 const std::string& text,
                 StoredAnswer answer);

// Records that a forwarded call ended without a whole answer.
void LoseClaim(ClaimRegistry& registry, const std::string& text);

// The record of a key, if it is remembered.
const ClaimRecord* FindClaim(const ClaimRegistry& registry,
                             const std::string& text);

// Forgets the epochs that are too old; their keys are kIsUnknown from now on.
void ForgetOldEpochs(ClaimRegistry& registry, TimePoint now);

// How long a key issued now is remembered at least.
Duration RetentionOf(const ClaimRegistry& registry);

}  // namespace bramleyspan::claims
