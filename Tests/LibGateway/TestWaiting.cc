#include <doctest/doctest.h>

#include "LibGateway/Waiting.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

WaitLimits Stream(bool is_retry) {
  return {.is_streaming = true,
          .is_retry = is_retry,
          .objective = milliseconds(500),
          .allowed = seconds(8),
          .event_timeout = seconds(2)};
}

}  // namespace

// Failure: callers that were refused while a group was down retry and are taken
// for new ones.
TEST_CASE("A caller that retries is distinguished from a new one") {
  WaitBudget budget;
  CHECK_FALSE(RecordWaitBudget(budget, milliseconds(7400), kStart));
  CHECK_FALSE(RecordWaitBudget(budget, milliseconds(8000), kStart));
  CHECK_FALSE(RecordWaitBudget(budget, milliseconds(6800), kStart));
  CHECK(RecordWaitBudget(budget, milliseconds(5200), kStart));
  SUBCASE("by recent wait budgets only, not by those of over 60 s ago") {
    const TimePoint later = kStart + seconds(61);
    CHECK_FALSE(RecordWaitBudget(budget, milliseconds(2500), later));
    CHECK_FALSE(RecordWaitBudget(budget, milliseconds(2300), later));
    CHECK(RecordWaitBudget(budget, milliseconds(1500), later));
  }
}

TEST_CASE("A stream waits while late too, but less than its event timeout") {
  const Wait wait = PlanWait(Stream(false), kStart);
  CHECK(wait.late_from == kStart + milliseconds(250));
  CHECK(wait.ends == kStart + milliseconds(1400));
  CHECK(PlanWait(Stream(true), kStart).late_from == kStart);
  CHECK(PlanWait(Stream(true), kStart).ends == wait.ends);
}

// Failure: a request that is no stream is held until its caller disconnects.
TEST_CASE("A request that is no stream is refused in time for a retry") {
  const Wait wait =
      PlanWait({.objective = milliseconds(100), .allowed = seconds(1)}, kStart);
  CHECK(wait.ends == kStart + milliseconds(50));
  CHECK(wait.late_from == wait.ends);
}

TEST_CASE("Urgent requests go first, then those in time, then retries") {
  const Urgency urgent{.priority = 0, .is_late = true};
  const Urgency in_time{.priority = 1};
  const Urgency retried{.priority = 1, .is_late = true, .is_retry = true};
  const Urgency late{.priority = 1, .is_late = true};
  CHECK(is_before(urgent, in_time));
  CHECK(is_before(in_time, retried));
  CHECK(is_before(retried, late));
  CHECK_FALSE(is_before(late, retried));
  CHECK_FALSE(is_before(in_time, in_time));
}

TEST_CASE("The retry delay leaves time for a second attempt") {
  CHECK(RetryDelayFor(RefusalReason::kNoPermit, milliseconds(6600)) ==
        milliseconds(2200));
  CHECK(RetryDelayFor(RefusalReason::kNoPermit, milliseconds(30)) ==
        milliseconds(100));
}

TEST_CASE("The retry delay depends on the reason of the refusal") {
  constexpr Duration kLeft = seconds(6);
  CHECK(RetryDelayFor(RefusalReason::kStoreUnavailable, kLeft) == seconds(2));
  CHECK(RetryDelayFor(RefusalReason::kStarting, kLeft) == milliseconds(500));
  CHECK(RetryDelayFor(RefusalReason::kRejected, kLeft) == milliseconds(200));
  CHECK(RetryDelayFor(RefusalReason::kStarting, milliseconds(900)) ==
        milliseconds(300));
}

}  // namespace bramleyspan::gateway
