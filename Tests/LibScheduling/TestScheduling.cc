#include <doctest/doctest.h>

#include "LibScheduling/DenialCooldowns.h"
#include "LibScheduling/DeniedRequests.h"
#include "LibScheduling/FleetQueue.h"
#include "LibScheduling/Forecast.h"
#include "LibScheduling/GrantRates.h"

namespace bramleyspan::scheduling {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr StreamClass kUrgent{.priority = 0};
constexpr StreamClass kOther{.priority = 2};
constexpr StreamClass kLateOther{.priority = 2, .is_late = true};

// Returns a forecast by reports of four ranks that each grant `per_second`
// permits, while `waiting` streams wait.
Forecast ForecastOf(double per_second, uint32_t waiting) {
  Forecast forecast;
  for (int rank = 0; rank < 4; ++rank) {
    RecordReport(
        forecast,
        {.rank = std::to_string(rank),
         .waiting = {{.stream_class = kOther, .count = waiting}},
         .granted = {{.stream_class = kOther, .per_second = per_second}},
         .at = kStart});
  }
  return forecast;
}

}  // namespace

// Failure: free permits go to whichever gateway probes first, so that a burst
// of a less urgent kind takes those of the most urgent one.
TEST_CASE("A denied stream holds less urgent ones back for a while") {
  DeniedRequests denied;
  CHECK_FALSE(is_held_back(denied, kOther, kStart));
  RecordDenial(denied, kUrgent, kStart);
  CHECK(is_held_back(denied, kOther, kStart));
  CHECK(is_held_back(denied, kLateOther, kStart));
  CHECK_FALSE(is_held_back(denied, kUrgent, kStart));
  SUBCASE("until it has gone elsewhere") {
    CHECK_FALSE(is_held_back(denied, kOther, kStart + milliseconds(101)));
  }
  SUBCASE("until a stream of its class has a permit") {
    RecordGrant(denied, kOther, kStart);
    CHECK(is_held_back(denied, kOther, kStart));
    RecordGrant(denied, kUrgent, kStart);
    CHECK_FALSE(is_held_back(denied, kOther, kStart));
  }
}

// Failure: the records of the burst itself replace that of the urgent stream,
// and nothing holds the burst back any more.
TEST_CASE("Denied requests are bounded and the urgent ones stay") {
  DeniedRequests denied;
  RecordDenial(denied, kUrgent, kStart);
  for (int i = 0; i < 1000; ++i) {
    RecordDenial(denied, kOther, kStart);
  }
  CHECK(denied.recent.size() == 64);
  CHECK(is_held_back(denied, kOther, kStart));
}

TEST_CASE("The queue of the fleet is the sum of what gateways report lately") {
  FleetQueue queue;
  RecordQueue(queue, "a", {{.stream_class = kOther, .count = 3}}, kStart);
  RecordQueue(queue, "b",
              {{.stream_class = kUrgent, .count = 1},
               {.stream_class = kOther, .count = 2}},
              kStart + milliseconds(200));
  const auto sums = SumOf(queue, kStart + milliseconds(250));
  REQUIRE(sums.size() == 2);
  CHECK(sums[0].stream_class == kUrgent);
  CHECK(sums[0].count == 1);
  CHECK(sums[1].count == 5);
  CHECK(has_less_urgent(queue, 0, kStart + milliseconds(250)));
  CHECK_FALSE(has_less_urgent(queue, 2, kStart + milliseconds(250)));
  SUBCASE("A later report replaces the earlier one") {
    RecordQueue(queue, "b", {}, kStart + milliseconds(250));
    CHECK(SumOf(queue, kStart + milliseconds(250)).size() == 1);
  }
  SUBCASE("A gateway that ended is left out") {
    const auto later = SumOf(queue, kStart + milliseconds(400));
    REQUIRE(later.size() == 2);
    CHECK(later[1].count == 2);
  }
  SUBCASE("The number of gateways is bounded") {
    for (int i = 0; i < 2000; ++i) {
      RecordQueue(queue, std::to_string(i), {}, kStart);
    }
    CHECK(queue.gateways.size() == 512);
  }
}

// Failure: while a group that has just opened fills up, its rates are taken for
// what it can serve, and callers are refused that it could serve.
TEST_CASE("There are no rates until a group has been open for a while") {
  GrantRates rates;
  CHECK_FALSE(RatesOf(rates, kStart));
  HandleOpened(rates, kStart);
  for (int i = 0; i < 6; ++i) {
    RecordGrant(rates, kOther, kStart + milliseconds(1500));
  }
  CHECK_FALSE(RatesOf(rates, kStart + milliseconds(1900)));
  const auto known = RatesOf(rates, kStart + milliseconds(2100));
  REQUIRE(known);
  REQUIRE(known->size() == 1);
  CHECK(known->front().per_second == doctest::Approx(3));
  const auto none = RatesOf(rates, kStart + seconds(4));
  REQUIRE(none);
  CHECK(none->empty());
  HandleClosed(rates);
  CHECK_FALSE(RatesOf(rates, kStart + seconds(10)));
}

TEST_CASE("The expected wait is what waits by the rate of all ranks") {
  const Forecast forecast = ForecastOf(2, 8);
  CHECK(ExpectedWait(forecast, kOther, 16, kStart) == milliseconds(250));
  // A more urgent one does not wait behind them.
  CHECK(ExpectedWait(forecast, kUrgent, 16, kStart) == milliseconds(0));
  // What was granted to streams before it says nothing of a late one.
  CHECK(ExpectedWait(forecast, kLateOther, 16, kStart) == Duration::max());
  CHECK_FALSE(ExpectedWait(forecast, kOther, 16, kStart + seconds(2)));
  CHECK_FALSE(ExpectedWait({}, kOther, 16, kStart));
}

// Failure: ranks that granted nothing lately are left out, and the rate of the
// others is taken for that of all.
TEST_CASE("Ranks that granted nothing count for the rate") {
  Forecast forecast = ForecastOf(2, 8);
  for (int rank = 4; rank < 8; ++rank) {
    RecordReport(forecast, {.rank = std::to_string(rank),
                            .granted = {{.stream_class = kOther}},
                            .at = kStart});
  }
  CHECK(ExpectedWait(forecast, kOther, 16, kStart) == milliseconds(500));
}

// Failure: in a burst of a less urgent kind, streams that get a permit neither
// in time nor late wait for over a second and are refused then.
TEST_CASE("A stream is unservable if those in time already wait too long") {
  const PendingStream stream{.priority = 2,
                             .in_time_wait = milliseconds(500),
                             .ends = kStart + seconds(2)};
  CHECK_FALSE(is_unservable(ForecastOf(2, 10), stream, 16, kStart));
  CHECK(is_unservable(ForecastOf(2, 30), stream, 16, kStart));
  CHECK_FALSE(is_unservable({}, stream, 16, kStart));
  SUBCASE("but not if late ones get permits soon enough") {
    Forecast forecast = ForecastOf(2, 30);
    for (RankReport& report : forecast.reports) {
      report.granted.push_back({.stream_class = kLateOther, .per_second = 1});
    }
    CHECK_FALSE(is_unservable(forecast, stream, 16, kStart));
  }
}

// Failure: an urgent stream is not tried because a less urgent one was denied a
// permit, or a late one.
TEST_CASE("A denial counts for what is less urgent and as late") {
  DenialCooldowns full;
  RecordDenial(full, {.priority = 1}, kStart + milliseconds(12));
  CHECK(is_denied(full, {.priority = 1}, kStart));
  CHECK(is_denied(full, kOther, kStart));
  CHECK_FALSE(is_denied(full, kUrgent, kStart));
  CHECK_FALSE(is_denied(full, kLateOther, kStart));
  CHECK_FALSE(is_denied(full, kOther, kStart + milliseconds(12)));
}

}  // namespace bramleyspan::scheduling
