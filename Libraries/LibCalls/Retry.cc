#include "LibCalls/Retry.h"

namespace bramleyspan::calls {

namespace {

// Whether another attempt can help and is permitted. A call that must not be
// repeated belongs to the one agent that its claim key names; sent to any
// other agent it could run twice.
bool is_retry_allowed(const RetryPolicy& policy,
                      const Attempt& attempt,
                      const Ending& ending) {
  const bool is_transient = ending.retry_after > Duration(0);
  // A call that was lost at two targets may be what ends them.
  const bool is_lost_again =
      attempt.may_have_run && ending.verdict == Verdict::kUnknown;
  return attempt.is_repeatable && is_transient && !is_lost_again &&
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
  // After the head of one answer, the caller would take the bytes of a second
  // answer for a part of the first.
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
