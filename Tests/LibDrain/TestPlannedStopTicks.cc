#include <doctest/doctest.h>

#include "LibDrain/PlannedStop.h"

namespace bramleyspan::drain {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const StopTerms kTerms{.notice = milliseconds(3500),
                       .quiet = milliseconds(700),
                       .bound = seconds(8)};
// How often a role asks what follows.
constexpr Duration kTick = milliseconds(100);
// What a process needs to close its addresses and to be gone.
constexpr Duration kTimeToExit = milliseconds(100);

// Returns when a stop ends that is asked each `tick` and whose work never does.
TimePoint EndOfStop(Duration tick) {
  PlannedStop stop = Begin(kTerms, kStart);
  TimePoint now = kStart;
  while (Advance(stop, {.delivering = 1}, true, now) != StopPhase::kEnded) {
    now += tick;
  }
  return now;
}

}  // namespace

TEST_CASE("A stop leaves its process the time to exit though ticks are late") {
  for (Duration late{}; late <= milliseconds(20); late += milliseconds(1)) {
    CAPTURE(late.count());
    CHECK(EndOfStop(kTick + late) <= kStart + kTerms.bound - kTimeToExit);
  }
}

TEST_CASE("Open work is ended though the process stood until the bound") {
  PlannedStop stop = Begin(kTerms, kStart);
  const TimePoint now = kStart + seconds(6);
  const StopWork work{.open = 1, .last_request = now};
  CHECK(Advance(stop, work, true, now) == StopPhase::kServing);
  CHECK(Advance(stop, work, true, stop.ending_at()) >= StopPhase::kEnding);
}

}  // namespace bramleyspan::drain
