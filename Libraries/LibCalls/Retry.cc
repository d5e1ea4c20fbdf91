#include "LibCalls/Retry.h"

namespace bramleyspan::calls {

namespace {

// A call that may not be repeated belongs to the one agent that its key names;
// sent anywhere else it could run twice.
bool is_retry_allowed(const RetryPolicy& policy,
                      const Attempt& attempt,
                      const Ending& ending) {
  const bool is_transient = ending.retry_after > Duration(0);
  return attempt.is_repeatable && is_transient &&
         attempt.attempts < policy.max_attempts &&
         attempt.remaining >= policy.min_remaining;
}

}  // namespace

NextStep DecideNextStep(const RetryPolicy& policy,
                        const Attempt& attempt,
                        const Ending& ending,
                        const TakeRetry& take_retry) {
  if (ending.verdict == Verdict::kWhole) {
    return NextStep::kFinish;
  }
  // A second answer after the head of a first would be two in one.
  if (attempt.has_head) {
    return NextStep::kTruncate;
  }
  if (is_retry_allowed(policy, attempt, ending) && take_retry()) {
    return NextStep::kRetry;
  }
  return NextStep::kRefuse;
}

Verdict CombinedVerdict(const Attempt& attempt, Verdict last) {
  const bool is_not_run = last == Verdict::kNotRun && !attempt.may_have_run;
  return is_not_run ? Verdict::kNotRun : Verdict::kUnknown;
}

}  // namespace bramleyspan::calls
