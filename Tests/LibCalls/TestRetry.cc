#include <doctest/doctest.h>

#include "LibCalls/Retry.h"

namespace bramleyspan::calls {

namespace {

using std::chrono::milliseconds;

const TakeRetry kAllow = [] { return true; };
const Ending kLeaving{Verdict::kNotRun, ErrorCode::kLeaving, "",
                      milliseconds(1000)};
const Ending kLost{Verdict::kUnknown, ErrorCode::kOutcomeUnknown, "",
                   milliseconds(1000)};

Attempt Repeatable() {
  return {.remaining = milliseconds(1000)};
}

}  // namespace

TEST_CASE("a repeatable call is retried while time and attempts are left") {
  CHECK(DecideNextStep({}, Repeatable(), kLeaving, kAllow) == NextStep::kRetry);
  CHECK(DecideNextStep({}, Repeatable(), kLost, kAllow) == NextStep::kRetry);
  Attempt late = Repeatable();
  late.remaining = milliseconds(10);
  CHECK(DecideNextStep({}, late, kLost, kAllow) == NextStep::kRefuse);
  Attempt third = Repeatable();
  third.attempts = 3;
  CHECK(DecideNextStep({}, third, kLost, kAllow) == NextStep::kRefuse);
  const Ending forbidden{Verdict::kNotRun, ErrorCode::kForbidden, "", {}};
  CHECK(DecideNextStep({}, Repeatable(), forbidden, kAllow) ==
        NextStep::kRefuse);
}

// Failure: a call under which its back end ends is sent to one back end after
// the other, and ends them all.
TEST_CASE("a call that was lost at two targets is not sent to a third") {
  Attempt second = Repeatable();
  second.attempts = 2;
  CHECK(DecideNextStep({}, second, kLost, kAllow) == NextStep::kRetry);
  second.may_have_run = true;
  CHECK(DecideNextStep({}, second, kLost, kAllow) == NextStep::kRefuse);
  CHECK(DecideNextStep({}, second, kLeaving, kAllow) == NextStep::kRetry);
}

// Guards against running a call twice: an agent dies with an at-most-once call,
// and the entry sends the call to another agent.
TEST_CASE("a call that must not be repeated is never retried") {
  Attempt once = Repeatable();
  once.is_repeatable = false;
  CHECK(DecideNextStep({}, once, kLost, kAllow) == NextStep::kRefuse);
  CHECK(DecideNextStep({}, once, kLeaving, kAllow) == NextStep::kRefuse);
}

// Guards against joining two answers: a model server dies during an answer, and
// a retry would append a second answer to its beginning.
TEST_CASE("an answer that has started is truncated and never retried") {
  Attempt begun = Repeatable();
  begun.has_head = true;
  CHECK(DecideNextStep({}, begun, kLost, kAllow) == NextStep::kTruncate);
}

// Guards against retry storms: when all targets fail, three attempts of each
// call would triple the load on the remaining targets.
TEST_CASE("the budget limits retries and counts only those that are sent") {
  int request_count = 0;
  const TakeRetry refuse = [&request_count] {
    ++request_count;
    return false;
  };
  CHECK(DecideNextStep({}, Repeatable(), kLost, refuse) == NextStep::kRefuse);
  Attempt third = Repeatable();
  third.attempts = 3;
  DecideNextStep({}, third, kLost, refuse);
  CHECK(request_count == 1);
}

// The first agent dies during a call and the second one is leaving. The caller
// must not receive kNotRun, since the first model server may still be running
// the call.
TEST_CASE("kNotRun is not reported after an attempt that may have run") {
  Attempt attempt = Repeatable();
  CHECK(CombinedVerdict(attempt, Verdict::kNotRun) == Verdict::kNotRun);
  attempt.may_have_run = true;
  CHECK(CombinedVerdict(attempt, Verdict::kNotRun) == Verdict::kUnknown);
}

}  // namespace bramleyspan::calls
