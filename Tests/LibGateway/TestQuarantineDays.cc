#include <doctest/doctest.h>

#include "Tests/LibGateway/SimulatedDays.h"

namespace bramleyspan::gateway {

namespace {

constexpr uint64_t kDays = 6;
// Of 500 proper requests one may be rejected.
constexpr size_t kProperPerRejected = 500;

void CheckDays(SimulatedDay day) {
  for (day.seed = 1; day.seed <= kDays; ++day.seed) {
    CAPTURE(day.seed);
    const DayResult result = RunDay(day);
    CHECK(result.late <= 3);
    CHECK(result.sound_rejected * kProperPerRejected <= result.sound);
  }
}

}  // namespace

TEST_CASE("A part under which servers end is found on any day") {
  SUBCASE("seldom") {
    CheckDays({.bad = 0.2});
  }
  SUBCASE("often") {
    CheckDays({.bad = 10});
  }
  SUBCASE("while servers end for other reasons too") {
    CheckDays({.bad = 3, .random_ends = 0.5});
  }
  SUBCASE("while gateways are restarted") {
    CheckDays({.bad = 3, .is_rolling = true});
  }
  SUBCASE("by many gateways") {
    CheckDays({.gateways = 42, .servers = 64, .sound = 200, .bad = 3});
  }
}

TEST_CASE("Sound parts are not held back on days of failures") {
  SUBCASE("of single servers") {
    CheckDays({.random_ends = 1});
  }
  SUBCASE("of zones, within moments") {
    CheckDays({.zone_failures = 3});
  }
  SUBCASE("of zones, over seconds") {
    CheckDays({.zone_failures = 3, .spread = std::chrono::seconds(2)});
  }
  SUBCASE("of all kinds") {
    CheckDays({.random_ends = 0.5, .zone_failures = 3, .is_rolling = true});
  }
}

}  // namespace bramleyspan::gateway
