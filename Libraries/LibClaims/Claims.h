// At-most-once execution. A claim key names the one agent incarnation that
// decides about its call; that agent keeps in memory what became of each key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "Kernel/Time.h"

namespace bramleyspan::claims {

// How long keys are remembered, and how much memory that may take.
struct ClaimSettings {
  Duration epoch_length = std::chrono::minutes(1);
  uint64_t retained_epochs = 10;
  size_t most_records = 200'000;
  size_t most_answer_bytes = 64 << 20;
  size_t largest_answer = 1 << 20;
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

// A call as it is shown together with a key.
struct ClaimedCall {
  std::string key;
  std::string owner;
  std::string entry;
  // Digest of what the call asks for.
  std::string fingerprint;
};

// An answer kept so that a repeated call gets it instead of running again.
struct StoredAnswer {
  uint16_t status = 0;
  std::string content_type;
  std::string body;
  // The body outgrew the largest answer and was dropped.
  bool is_too_large = false;
};

enum class ClaimState {
  // The call may have been forwarded and has not ended.
  kRunning,
  // The call ran and its whole answer is kept.
  kDone,
  // The call ran and its answer was too large or is evicted.
  kAnswerGone,
  // The call was forwarded and nobody knows how it ended.
  kUnknown,
  // The caller was told "not run"; the key can never run.
  kRefused,
};

// What the agent remembers of one key.
struct ClaimRecord {
  ClaimState state = ClaimState::kRunning;
  std::string fingerprint;
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
  // Keys of epochs before this one are forgotten; it never goes down.
  uint64_t oldest_epoch = 0;
  size_t record_count = 0;
  size_t answer_bytes = 0;
  // Keys whose answer is kept, the oldest answer first.
  std::deque<std::string> kept_answers;
};

enum class ClaimDecision {
  // Forward the call; the key is marked as running.
  kRun,
  // The call is running; its answer will come.
  kIsRunning,
  // The call ran; answer with the record's answer.
  kIsDone,
  // The call ran, but its answer is not kept any more.
  kIsAnswerGone,
  // The key was burnt by an earlier "not run"; it did not and will not run.
  kIsRefused,
  // The key belongs to another agent, a forgotten epoch or incarnation, or the
  // call ended unknown: nobody here can tell whether it ran.
  kIsUnknown,
  // The key was not issued by this agent to this owner's entry.
  kIsForged,
  // The key is bound to another request; this one did not and will not run.
  kIsOtherCall,
  // There is no room to remember one more key, so that it must not run now.
  kIsFull,
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
                         const ClaimedCall& call,
                         TimePoint now);

// Burns a key that AdmitClaim let run and of whose call no byte was sent to
// the back end. After this, and not before, the caller may be told "not run".
void RefuseClaim(ClaimRegistry& registry, const std::string& key);

// Adds a part of the body to an answer that is to be kept.
void AppendToAnswer(const ClaimSettings& settings,
                    StoredAnswer& answer,
                    std::string_view bytes);

// Records the whole answer of a running key.
void FinishClaim(ClaimRegistry& registry,
                 const std::string& key,
                 StoredAnswer answer);

// Records that a running key's call ended without a whole answer.
void MarkClaimUnknown(ClaimRegistry& registry, const std::string& key);

// The record of a key, if it is remembered.
const ClaimRecord* FindClaim(const ClaimRegistry& registry,
                             const std::string& key);

// Forgets the epochs that are too old; their keys are kIsUnknown from now on.
// Keys that are still running stay until their call ends.
void RemoveExpiredEpochs(ClaimRegistry& registry, TimePoint now);

// How long a key issued now is remembered at least, unless memory runs out.
Duration RetentionOf(const ClaimRegistry& registry);

}  // namespace bramleyspan::claims
