#include <doctest/doctest.h>

#include "LibTelemetry/LateStreams.h"

namespace bramleyspan::telemetry {

namespace {

using std::chrono::milliseconds;

LateStream Pause() {
  return {.request = "r1",
          .group = "g0",
          .at = milliseconds(10000),
          .took = milliseconds(140)};
}

GroupRecord Record(int at, double skew, std::string phase) {
  return {.group = "g0",
          .at = milliseconds(at),
          .pass = milliseconds(60),
          .phase = std::move(phase),
          .skew = skew};
}

}  // namespace

TEST_CASE("A late stream is attributed to its request before its group") {
  LateStream stream = Pause();
  stream.attempts = 2;
  const auto record = Record(9950, 3, "idle");
  CHECK(FindLateness(stream, {record}).cause == LateCause::kRepeated);
  stream.attempts = 1;
  stream.is_first_event = true;
  stream.waited = milliseconds(70);
  CHECK(FindLateness(stream, {record}).cause == LateCause::kWaited);
}

TEST_CASE("A long pause is attributed to the state of its group then") {
  const LateStream stream = Pause();
  auto slow = Record(9900, 1.2, "idle");
  slow.slowest_pace = 3.9;
  CHECK(FindLateness(stream, {slow}).cause == LateCause::kSlowRank);
  CHECK(FindLateness(stream, {Record(9900, 3.1, "arming")}).cause ==
        LateCause::kUnevenMap);
  CHECK(FindLateness(stream, {Record(9900, 1.4, "arming")}).cause ==
        LateCause::kSwitch);
  CHECK(FindLateness(stream, {Record(9900, 1.4, "preparing")}).cause ==
        LateCause::kLoad);
}

TEST_CASE("Records of other groups and times tell nothing of a late stream") {
  auto foreign = Record(9900, 3, "idle");
  foreign.group = "g1";
  const auto result = FindLateness(Pause(), {Record(9000, 3, "idle"), foreign});
  CHECK(result.cause == LateCause::kUnknown);
  CHECK_FALSE(result.group);
}

TEST_CASE("The record nearest to the middle of the pause is returned") {
  const auto result = FindLateness(
      Pause(), {Record(9800, 1.1, "idle"), Record(9940, 1.2, "idle"),
                Record(10200, 1.3, "idle")});
  REQUIRE(result.group);
  CHECK(result.group->at == milliseconds(9940));
}

}  // namespace bramleyspan::telemetry
