// What an entry does at the end of an attempt to have a call answered. Pure.
#pragma once

#include <cstdint>
#include <functional>

#include "LibCalls/Ending.h"

namespace bramleyspan::calls {

struct RetryPolicy {
  uint32_t max_attempts = 3;
  // With less time left no other target could answer.
  Duration min_remaining = std::chrono::milliseconds(50);
};

// A call at the end of an attempt.
struct Attempt {
  // The call may be repeated, by its entry's declaration.
  bool is_repeatable = true;
  // The head of an answer was passed on to the caller.
  bool has_head = false;
  // An earlier attempt ended unknown.
  bool may_have_run = false;
  uint32_t attempts = 1;
  // Time to the deadline of the first byte.
  Duration remaining{};
};

enum class NextStep {
  // End the caller's answer as whole.
  kFinish,
  // Break the caller's answer off, so that it shows as truncated.
  kTruncate,
  // Send the call to another target.
  kRetry,
  // Tell the caller how the call ended.
  kRefuse,
};

// Takes one retry from the budget of the owner and the process, if there is
// one left. It is asked last, so that it only counts retries that happen.
using TakeRetry = std::function<bool()>;

NextStep DecideNextStep(const RetryPolicy& policy,
                        const Attempt& attempt,
                        const Ending& ending,
                        const TakeRetry& take_retry);

// The verdict over all attempts, given that of the last. A last attempt that
// did not run says nothing of an earlier one that ended unknown.
Verdict CombinedVerdict(const Attempt& attempt, Verdict last);

}  // namespace bramleyspan::calls
