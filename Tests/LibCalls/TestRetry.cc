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

TEST_CASE("what is repeatable goes to another target while there is time") {
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

// An agent dies with an invoice in its hands and the entry sends it to
// another: it is issued twice.
TEST_CASE("what may not be repeated is never sent on") {
  Attempt once = Repeatable();
  once.is_repeatable = false;
  CHECK(DecideNextStep({}, once, kLost, kAllow) == NextStep::kRefuse);
  CHECK(DecideNextStep({}, once, kLeaving, kAllow) == NextStep::kRefuse);
}

// An engine dies in the middle of a draft; the caller sees the beginning of
// one answer and the whole of another as one text.
TEST_CASE("an answer that has begun is broken off") {
  Attempt begun = Repeatable();
  begun.has_head = true;
  CHECK(DecideNextStep({}, begun, kLost, kAllow) == NextStep::kTruncate);
}

// All targets fail at once and every entry triples the load on what is left.
TEST_CASE("the budget bounds retries and counts only those that happen") {
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

// The first agent dies with a draft, the second one is leaving: the caller
// hears "not run" while the first engine is still writing.
TEST_CASE("not run is not said after an attempt that may have run") {
  Attempt attempt = Repeatable();
  CHECK(CombinedVerdict(attempt, Verdict::kNotRun) == Verdict::kNotRun);
  attempt.may_have_run = true;
  CHECK(CombinedVerdict(attempt, Verdict::kNotRun) == Verdict::kUnknown);
}

}  // namespace bramleyspan::calls
