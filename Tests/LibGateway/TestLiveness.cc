#include <doctest/doctest.h>

#include "LibGateway/Liveness.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
// How long callers wait for an event.
constexpr Duration kPatience = std::chrono::seconds(2);
constexpr Duration kCheckInterval = milliseconds(40);
constexpr Duration kStandstill = std::chrono::seconds(8);

// Returns when a stream is moved that arrived at kStart and was sent after
// `waited`, to a target that sends nothing from then on and whose agent answers
// probes with reports of age `report_age`; none if it never answers.
std::optional<Duration> MovedAfter(Duration waited,
                                   std::optional<Duration> report_age,
                                   bool is_group_working) {
  Liveness liveness{.answered_at = kStart, .reported_at = kStart + waited};
  const OwedStream stream{.since = kStart + waited,
                          .caller_leaves_at = kStart + kPatience};
  for (TimePoint now = stream.since; now < kStart + kStandstill;
       now += kCheckInterval) {
    switch (NextStepFor(stream, liveness, is_group_working, now)) {
      case OwedStep::kWait:
        break;
      case OwedStep::kProbe:
        RecordProbe(liveness, now);
        if (report_age) {
          RecordReport(liveness, *report_age, now);
        }
        break;
      case OwedStep::kMove:
        return now - kStart;
    }
  }
  return std::nullopt;
}

}  // namespace

// Failure: a target's VM freezes, and its streams lie there until their callers
// have left.
TEST_CASE("A stream leaves a silent target before its caller leaves") {
  for (Duration waited{}; waited <= milliseconds(1200);
       waited += milliseconds(50)) {
    CAPTURE(waited.count());
    for (const std::optional<Duration> report_age :
         {std::optional<Duration>(), std::optional<Duration>(kStandstill)}) {
      const auto moved = MovedAfter(waited, report_age, true);
      REQUIRE(moved);
      CHECK(*moved <= waited + milliseconds(600));
      CHECK(*moved < kPatience);
    }
  }
}

// Failure: the group of a live target stands, and its streams are told nothing
// until their callers have left.
TEST_CASE("A stream of a standing group ends before its caller leaves") {
  const auto moved = MovedAfter(milliseconds(100), Duration(0), true);
  REQUIRE(moved);
  CHECK(*moved > std::chrono::seconds(1));
  CHECK(*moved < kPatience - milliseconds(250));
}

// Failure: all agents of a held group are killed, and their live servers lose
// their streams.
TEST_CASE("Streams of a group that does not work move only as callers leave") {
  const auto moved = MovedAfter(milliseconds(100), std::nullopt, false);
  REQUIRE(moved);
  CHECK(*moved > std::chrono::seconds(1));
}

TEST_CASE("Events of other streams show that a target lives") {
  Liveness liveness{.answered_at = kStart};
  const OwedStream stream{.since = kStart,
                          .caller_leaves_at = kStart + kPatience};
  for (TimePoint now = kStart; now < kStart + kPatience;
       now += kCheckInterval) {
    RecordAnswer(liveness, now);
    CHECK(NextStepFor(stream, liveness, true, now) == OwedStep::kWait);
  }
}

// Failure: an agent that has just started reports short passes of a group that
// stands.
TEST_CASE("A target works only while it answers") {
  Liveness liveness{.answered_at = kStart};
  CHECK(is_working(liveness, kStart + milliseconds(200)));
  RecordReport(liveness, Duration(0), kStart + milliseconds(400));
  CHECK_FALSE(is_working(liveness, kStart + milliseconds(400)));
}

TEST_CASE("A target that is heard again is not silent") {
  Liveness liveness{.answered_at = kStart};
  const TimePoint probed = kStart + milliseconds(400);
  RecordProbe(liveness, probed);
  CHECK(is_silent(liveness, probed + milliseconds(200)));
  RecordReport(liveness, std::chrono::seconds(1), probed);
  CHECK(is_silent(liveness, probed + milliseconds(200)));
  RecordReport(liveness, milliseconds(20), probed + milliseconds(200));
  CHECK_FALSE(is_silent(liveness, probed + milliseconds(200)));
}

}  // namespace bramleyspan::gateway
