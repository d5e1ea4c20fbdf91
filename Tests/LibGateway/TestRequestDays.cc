#include <doctest/doctest.h>

#include "Tests/LibGateway/SimulatedRequests.h"

namespace bramleyspan::gateway {

namespace {

constexpr uint64_t kDays = 3;
// Five proper requests may be rejected, and one in 500.
constexpr size_t kRejected = 5;
constexpr size_t kProperPerRejected = 500;

void CheckDays(RequestDay day) {
  for (day.seed = 1; day.seed <= kDays; ++day.seed) {
    CAPTURE(day.seed);
    const RequestDayResult result = RunRequestDay(day);
    CHECK(result.late == 0);
    CHECK(result.sound_held <= kRejected + result.sound / kProperPerRejected);
    CHECK(result.most_records <= kRulesOfRequests.max_records);
  }
}

}  // namespace

TEST_CASE("A request under which servers end is held back on any day") {
  SUBCASE("alone") {
    CheckDays({.killing = 1});
  }
  SUBCASE("with others at the same time") {
    CheckDays({.servers = 32, .killing = 5});
  }
  SUBCASE("whose server ends at once") {
    CheckDays({.killing = 3, .kills = std::chrono::milliseconds(2)});
  }
  SUBCASE("whose server ends in the middle of the answer") {
    CheckDays({.killing = 3, .kills = std::chrono::milliseconds(700)});
  }
  SUBCASE("sent to two gateways at once") {
    CheckDays({.killing = 3, .is_doubled = true});
  }
  SUBCASE("while servers end for other reasons too") {
    CheckDays({.killing = 3, .random_ends = 0.5});
  }
  SUBCASE("while gateways are restarted") {
    CheckDays({.killing = 3, .is_rolling = true});
  }
  SUBCASE("while messages get lost") {
    CheckDays({.killing = 3, .loss = 0.3});
  }
  SUBCASE("by many gateways") {
    CheckDays({.gateways = 42, .servers = 64, .sound = 200, .killing = 5});
  }
  SUBCASE("by the fleet of 340 gateways") {
    CheckDays({.gateways = 340,
               .servers = 200,
               .sound = 500,
               .killing = 5,
               .run_time = std::chrono::seconds(8)});
  }
}

TEST_CASE("Sound requests are not held back on days of failures") {
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
