// At-most-once execution. A claim key names the only agent incarnation that
// decides whether its call runs; that agent keeps the state of each key in
// memory.
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

// How long keys are retained, and how much memory they may take.
struct ClaimSettings {
  Duration epoch_length = std::chrono::minutes(1);
  uint64_t retained_epochs = 10;
  size_t most_records = 200'000;
  size_t most_answer_bytes = 64 << 20;
  size_t largest_answer = 1 << 20;
};

// The parts of a claim key.
struct ClaimKey {
  std::string agent;
  uint64_t incarnation = 0;
  uint64_t epoch = 0;
  std::string nonce;
  std::string authentication_code;

  auto operator<=>(const ClaimKey&) const = default;
};

// A call together with the key that the caller presents.
struct ClaimedCall {
  std::string key;
  std::string owner;
  std::string entry;
  // Digest of the request, which binds the key to it.
  std::string fingerprint;
};

// A stored answer, which a repeated call gets instead of running again.
struct StoredAnswer {
  uint16_t status = 0;
  std::string content_type;
  std::string body;
  // The body exceeded the largest answer and was dropped.
  bool is_too_large = false;
};

enum class ClaimState {
  // The call may have been forwarded and has not ended.
  kRunning,
  // The call ran and its whole answer is stored.
  kDone,
  // The call ran, but its answer was too large or has been evicted.
  kAnswerGone,
  // The call was forwarded and its outcome is unknown.
  kUnknown,
  // The caller got the answer "not run"; the key can never run.
  kRefused,
};

// What the agent stores about one key.
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
  // Records by epoch, so that a whole epoch is removed at once.
  std::map<uint64_t, std::map<std::string, ClaimRecord>> records;
  // Keys of earlier epochs are removed; it never decreases.
  uint64_t oldest_epoch = 0;
  size_t record_count = 0;
  size_t answer_bytes = 0;
  // Keys whose answer is stored, the oldest answer first.
  std::deque<std::string> kept_answers;
};

enum class ClaimDecision {
  // Forward the call; the key is now marked as running.
  kRun,
  // The call is running; its answer will follow.
  kIsRunning,
  // The call ran; reply with the stored answer.
  kIsDone,
  // The call ran, but its answer is no longer stored.
  kIsAnswerGone,
  // The key was invalidated by an earlier "not run"; its call did not run and
  // never will.
  kIsRefused,
  // The key belongs to another agent or incarnation or to a removed epoch, or
  // the outcome of its call is unknown: this agent cannot know whether it ran.
  kIsUnknown,
  // This agent did not issue the key for this owner's catalogue entry.
  kIsForged,
  // The key is bound to another request; this one did not run and will not.
  kIsOtherCall,
  // There is no room for one more key, so that its call must not run now.
  kIsFull,
};

// Parses a claim key. Fails with kMalformedRequest.
Result<ClaimKey> ParseClaimKey(std::string_view text);

// Returns a new key for an owner's catalogue entry; `nonce` is random
// hexadecimal.
std::string IssueClaim(const ClaimRegistry& registry,
                       const std::string& owner,
                       const std::string& entry,
                       const std::string& nonce,
                       TimePoint now);

// Decides what to do with a call; for kRun it also marks the key as running.
ClaimDecision AdmitClaim(ClaimRegistry& registry,
                         const ClaimedCall& call,
                         TimePoint now);

// Invalidates a running key of whose call no byte was sent to the back end.
// Only after this may the caller get the answer "not run".
void RefuseClaim(ClaimRegistry& registry, const std::string& key);

// Appends a part of the body to an answer that is being stored.
void AppendToAnswer(const ClaimSettings& settings,
                    StoredAnswer& answer,
                    std::string_view bytes);

// Stores the whole answer of a running key.
void FinishClaim(ClaimRegistry& registry,
                 const std::string& key,
                 StoredAnswer answer);

// Records that the outcome of a running key's call is unknown, because it ended
// without a whole answer.
void MarkClaimUnknown(ClaimRegistry& registry, const std::string& key);

// Returns the record of a key, or null if it is not retained.
const ClaimRecord* FindClaim(const ClaimRegistry& registry,
                             const std::string& key);

// Removes epochs past their retention; their keys are kIsUnknown from now on.
// Running keys stay until their call ends.
void RemoveExpiredEpochs(ClaimRegistry& registry, TimePoint now);

// Returns how long a key issued now is retained at least, unless memory runs
// out.
Duration RetentionOf(const ClaimRegistry& registry);

}  // namespace bramleyspan::claims
