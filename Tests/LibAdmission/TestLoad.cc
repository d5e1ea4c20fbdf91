// Runs simulated load through the admission of a group's ranks and checks the
// outcomes of its callers.
#include <doctest/doctest.h>

#include "SimulatedLoad.h"

namespace bramleyspan::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 5;

double Fraction(int count, const CallerCounts& counts) {
  return static_cast<double>(count) / counts.requests;
}

LoadSettings SmallGroup(Duration shift_interval) {
  return {.ranks = 12,
          .slots = 12,
          .events = 24,
          .stride = 4,
          .longest_pause = milliseconds(120),
          .arrivals_per_second = 50,
          .shift_interval = shift_interval,
          .skew_after_shift = 3.1,
          .skew_with_first_copies = 1.8,
          .steady_skew = 1.4};
}

}  // namespace

TEST_CASE("Callers below capacity are answered in time") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedLoad load({.arrivals_per_second = 55}, seed);
    load.Run(seconds(20));
    const CallerCounts sum = load.Sum(2, 16);
    CHECK(Fraction(sum.in_time, sum) > 0.97);
  }
}

// Guards against passes that exceed the longest pause because demand shifts
// within each stream's lifetime.
TEST_CASE(
    "Above capacity most callers are in time although demand keeps shifting") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedLoad load(
        {.arrivals_per_second = 98, .shift_interval = milliseconds(2800)},
        seed);
    load.Run(seconds(30));
    const CallerCounts sum = load.Sum(4, 24);
    MESSAGE("in time ", Fraction(sum.in_time, sum), " late ",
            Fraction(sum.late, sum), " refused ", Fraction(sum.refused, sum));
    CHECK(Fraction(sum.in_time, sum) > 0.6);
  }
}

// Guards against a group that opens and admits all waiting requests at once,
// all of which are then late.
TEST_CASE("A group that opens serves the callers that can be in time") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedLoad load(SmallGroup(Duration(0)), seed);
    load.Run(seconds(10));
    load.ReformUntil(load.now + milliseconds(2200));
    load.Run(milliseconds(2200));
    load.longest_pass = {};
    load.Run(seconds(20));
    const CallerCounts sum = load.Sum(12, 16);
    MESSAGE("in time ", Fraction(sum.in_time, sum), " late ",
            Fraction(sum.late, sum), " refused ", Fraction(sum.refused, sum),
            " pass ", load.longest_pass.count());
    CHECK(Fraction(sum.in_time, sum) > 0.6);
  }
}

// Guards against load that remains after the burst that caused it has ended.
TEST_CASE("Two seconds after a burst callers are in time as before it") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedLoad load(SmallGroup(milliseconds(3200)), seed);
    load.Run(seconds(10));
    load.settings.arrivals_per_second = 150;
    load.Run(seconds(6));
    load.settings.arrivals_per_second = 50;
    load.Run(seconds(20));
    const CallerCounts before = load.Sum(2, 10);
    const CallerCounts during = load.Sum(10, 16);
    const CallerCounts after = load.Sum(18, 28);
    MESSAGE("in time ", Fraction(before.in_time, before), ", ",
            Fraction(during.in_time, during), ", ",
            Fraction(after.in_time, after));
    CHECK(Fraction(after.in_time, after) >
          0.8 * Fraction(before.in_time, before));
  }
}

}  // namespace bramleyspan::admission
