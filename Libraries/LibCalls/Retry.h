// Decides what an entry does at the end of an attempt at a call. Pure
// functions.
#pragma once

#include <cstdint>
#include <functional>

#include "LibCalls/Ending.h"

namespace bramleyspan::calls {

struct RetryPolicy {
  uint32_t max_attempts = 3;
  // With less time left, no other target could answer.
  Duration min_remaining = std::chrono::milliseconds(50);
};

// The state of a call at the end of an attempt.
struct Attempt {
  // The catalogue entry declares that the call may be repeated.
  bool is_repeatable = true;
  // The head of an answer was forwarded to the caller.
  bool has_head = false;
  // An earlier attempt ended with kUnknown.
  bool may_have_run = false;
  uint32_t attempts = 1;
  // Time until the deadline for the first byte.
  Duration remaining{};
};

enum class NextStep {
  // End the caller's answer as complete.
  kFinish,
  // End the caller's answer such that the caller detects that it is truncated.
  kTruncate,
  // Send the call to another target.
  kRetry,
  // Answer the caller with the error of the call.
  kRefuse,
};

// Takes one retry from the budgets of the owner and the process, and returns
// whether one was left. Called last, so only retries that are sent are counted.
using TakeRetry = std::function<bool()>;

// Returns the step that follows an attempt with this ending.
NextStep DecideNextStep(const RetryPolicy& policy,
                        const Attempt& attempt,
                        const Ending& ending,
                        const TakeRetry& take_retry);

// Returns the verdict over all attempts of a call without an answer, given that
// of the last one. It is kNotRun only if no earlier attempt may have run.
Verdict CombinedVerdict(const Attempt& attempt, Verdict last);

}  // namespace bramleyspan::calls
