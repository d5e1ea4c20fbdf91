#include <doctest/doctest.h>

#include "SimulatedRepeats.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FleetEvent::Kind;

std::set<size_t> Range(size_t first, size_t end) {
  std::set<size_t> numbers;
  for (size_t number = first; number < end; ++number) {
    numbers.insert(number);
  }
  return numbers;
}

void CheckKept(SimulatedRepeats fleet) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    fleet.seed = seed;
    const RepeatsResult result = Play(fleet);
    CAPTURE(fleet.gateways);
    CAPTURE(seed);
    CAPTURE(result.most);
    CAPTURE(result.allowed_then);
    CAPTURE(result.most_at.count());
    CHECK(result.broken_windows == 0);
  }
}

// Kills these gateways at each of these times after the errors began.
std::vector<FleetEvent> KillsOf(const std::set<size_t>& gateways,
                                const std::vector<Duration>& after) {
  std::vector<FleetEvent> events;
  events.reserve(after.size());
  for (const Duration at : after) {
    events.push_back({.kind = Kind::kKilled,
                      .at = SimulatedRepeats{}.errors_from + at,
                      .gateways = gateways});
  }
  return events;
}

}  // namespace

TEST_CASE("Gateways that all start anew do not get their repeats again") {
  for (const size_t gateways : {1, 2, 7, 9, 13, 40}) {
    const std::set<size_t> all = Range(0, gateways);
    for (const int after : {1000, 2000, 3500, 6000, 9000}) {
      CheckKept({.gateways = gateways,
                 .events = KillsOf(all, {milliseconds(after)})});
    }
    CheckKept({.gateways = gateways,
               .events = KillsOf(all, {seconds(2), seconds(4), seconds(7)})});
  }
}

TEST_CASE("Gateways that start anew in turn do not get their repeats again") {
  for (const size_t gateways : {2, 7, 9, 13, 40}) {
    for (const Kind kind : {Kind::kKilled, Kind::kDrained}) {
      SimulatedRepeats fleet{.gateways = gateways};
      for (size_t number = 0; number < gateways; ++number) {
        fleet.events.push_back(
            {.kind = kind,
             .at = fleet.errors_from + milliseconds(1500) +
                   milliseconds(500) * (number % 14),
             .down = kind == Kind::kKilled ? milliseconds(500) : seconds(4),
             .gateways = {number}});
      }
      CheckKept(fleet);
    }
  }
}

TEST_CASE("Thirds of the gateways are killed again and again") {
  SimulatedRepeats fleet{.gateways = 9};
  for (int round = 0; round < 6; ++round) {
    const size_t first = static_cast<size_t>(round % 3) * 3;
    fleet.events.push_back({.kind = Kind::kKilled,
                            .at = fleet.errors_from + seconds(2 + 2 * round),
                            .gateways = Range(first, first + 3)});
  }
  CheckKept(fleet);
}

TEST_CASE("Gateways that are added bring no repeats with them") {
  for (const size_t gateways : {2, 7, 40}) {
    SimulatedRepeats fleet{.gateways = gateways};
    fleet.events.push_back({.kind = Kind::kAdded,
                            .at = fleet.errors_from + seconds(3),
                            .gateways = Range(gateways, 2 * gateways)});
    CheckKept(fleet);
  }
}

TEST_CASE(
    "Both sides of a cut stay within one budget for as long as a window") {
  for (const size_t gateways : {2, 7, 9, 40}) {
    for (const int after : {-3000, 500, 2000, 6000}) {
      SimulatedRepeats fleet{.gateways = gateways};
      fleet.events.push_back({.kind = Kind::kCutOff,
                              .at = fleet.errors_from + milliseconds(after),
                              .down = seconds(9),
                              .gateways = Range(0, gateways / 2)});
      CheckKept(fleet);
    }
  }
}

TEST_CASE("Gateways that are cut off from each other share one budget") {
  for (const size_t gateways : {2, 7, 9}) {
    for (const int after : {12, 26}) {
      SimulatedRepeats fleet{.gateways = gateways};
      fleet.errors_from = seconds(20 + after);
      fleet.events.push_back({.kind = Kind::kCutOff,
                              .at = seconds(20),
                              .down = seconds(60),
                              .gateways = Range(0, gateways / 2)});
      CheckKept(fleet);
      // One of them starts anew meanwhile, and hears nobody.
      fleet.events.push_back({.kind = Kind::kKilled,
                              .at = fleet.errors_from - seconds(1),
                              .gateways = {0}});
      CheckKept(fleet);
    }
  }
}

TEST_CASE("Gateways that hear others unheard take no more than their share") {
  for (const size_t gateways : {2, 7, 9}) {
    for (const size_t unheard : {size_t{1}, gateways / 2}) {
      for (const int after : {-3000, 500}) {
        SimulatedRepeats fleet{.gateways = gateways};
        fleet.events.push_back({.kind = Kind::kUnheard,
                                .at = fleet.errors_from + milliseconds(after),
                                .down = seconds(9),
                                .gateways = Range(0, unheard)});
        CheckKept(fleet);
      }
    }
  }
}

TEST_CASE("Repeats that waited for a target count when they are sent") {
  for (const size_t gateways : {1, 7, 40}) {
    for (const int hold : {3, 7}) {
      CheckKept({.gateways = gateways, .hold = seconds(hold)});
    }
  }
}

TEST_CASE("A calm fleet uses most of the repeats that it may send") {
  for (const size_t gateways : {1, 7, 13, 40}) {
    const RepeatsResult result = Play({.gateways = gateways});
    CAPTURE(gateways);
    CHECK(result.broken_windows == 0);
    CHECK(result.used > 0.7);
  }
}

}  // namespace bramleyspan::gateway
