#include "LibCalls/Retry.h"

namespace bramleyspan::calls {

namespace {

// A call that may not be repeated belongs to the one agent that its key names;
// sent anywhere else it could run twice.
bool is_worth_a_retry(const RetryPolicy& policy,
                      const Attempt& attempt,
                      const Ending& ending) {
  const bool is_passing = ending.retry_after > Duration(0);
  return attempt.is_repeatable && is_passing &&
         attempt.attempts < policy.most_attempts &&
         attempt.remaining >= policy.least_remaining;
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
    return NextStep::kBreakOff;
  }
  if (is_worth_a_retry(policy, attempt, ending) && take_retry()) {
    return NextStep::kRetry;
  }
  return NextStep::kRefuse;
}

Verdict VerdictOverAll(const Attempt& attempt, Verdict last) {
  const bool is_not_run = last == Verdict::kNotRun && !attempt.may_have_run;
  return is_not_run ? Verdict::kNotRun : Verdict::kUnknown;
}

}  // namespace bramleyspan::calls
