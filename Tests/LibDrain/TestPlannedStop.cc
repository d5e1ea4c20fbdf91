#include "LibDrain/PlannedStop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace bramleyspan::drain {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const StopTerms kTerms{.notice = milliseconds(3500),
                       .quiet = milliseconds(700),
                       .bound = seconds(8)};
constexpr Duration kTick = milliseconds(100);

PlannedStop StopIn(StopPhase phase) {
  PlannedStop stop = Begin(kTerms, kStart);
  stop.phase = phase;
  return stop;
}

StopWork WorkWithout(Duration quiet_for, TimePoint now) {
  return {.last_request = now - quiet_for};
}

// Callers of a process that stops. They send until a moment of their own; a
// request is of known length and reaches the process if its address is open.
struct SimulatedStop {
  PlannedStop stop = Begin(kTerms, kStart);
  std::vector<TimePoint> ends;
  TimePoint last_request = kStart;
  bool judges = true;
  size_t cut = 0;
  TimePoint ended_at;

  void Arrive(Duration takes, TimePoint now) {
    this->last_request = now;
    if (this->judges && !can_end_in_time(this->stop, takes, now)) {
      this->stop.has_refused = true;
    } else {
      this->ends.push_back(now + takes);
    }
  }

  void Tick(TimePoint now) {
    std::erase_if(this->ends, [now](TimePoint end) { return end <= now; });
    const StopPhase before = this->stop.phase;
    const StopWork work{.open = this->ends.size(),
                        .last_request = this->last_request};
    const StopPhase after = Advance(this->stop, work, true, now);
    CHECK(after >= before);
    const bool is_early = now < this->stop.ending_at();
    if (after == StopPhase::kEnded && is_early) {
      CHECK(work.is_done());
    }
    if (after == StopPhase::kEnding && before != after) {
      this->cut = this->ends.size();
      this->ends.clear();
    }
    if (after == StopPhase::kEnded) {
      this->ended_at = now;
    }
  }
};

struct SimulatedCallers {
  // When the last of them leaves.
  Duration leave_after{};
  Duration longest{};
  double per_tick = 1;
  bool judges = true;
};

SimulatedStop Simulate(const SimulatedCallers& callers, uint32_t seed) {
  std::mt19937 random(seed);
  std::poisson_distribution<int> arrivals(callers.per_tick);
  std::uniform_int_distribution<int64_t> lengths(1, callers.longest.count());
  SimulatedStop simulated;
  simulated.judges = callers.judges;
  for (TimePoint now = kStart; now <= kStart + kTerms.bound; now += kTick) {
    const bool is_called = now - kStart <= callers.leave_after &&
                           simulated.stop.phase == StopPhase::kServing;
    for (int n = is_called ? arrivals(random) : 0; n > 0; --n) {
      simulated.Arrive(Duration(lengths(random)), now);
    }
    simulated.Tick(now);
    if (simulated.stop.phase == StopPhase::kEnded) {
      break;
    }
  }
  return simulated;
}

}  // namespace

TEST_CASE("A stop ends soon after callers left and their requests ended") {
  for (uint32_t seed = 0; seed < 500; ++seed) {
    CAPTURE(seed);
    const SimulatedStop simulated =
        Simulate({.leave_after = seconds(3), .longest = seconds(2)}, seed);
    CHECK(simulated.cut == 0);
    CHECK(simulated.ended_at >= kStart + kTerms.notice);
    CHECK(simulated.ended_at <= kStart + seconds(5) + 2 * kTick);
  }
}

TEST_CASE("A stop whose callers never leave cuts nothing and ends in time") {
  for (uint32_t seed = 0; seed < 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const SimulatedCallers callers{
        .leave_after = seconds(60),
        .longest = milliseconds(random() % 12'000 + 1),
        .per_tick = static_cast<double>(random() % 30 + 1) / 10};
    const SimulatedStop simulated = Simulate(callers, seed);
    CHECK(simulated.cut == 0);
    CHECK(simulated.stop.phase == StopPhase::kEnded);
    CHECK(simulated.ended_at <= kStart + kTerms.bound);
  }
}

TEST_CASE("A stop that takes what can't end in time cuts it") {
  size_t cut = 0;
  for (uint32_t seed = 0; seed < 100; ++seed) {
    cut += Simulate({.leave_after = seconds(60),
                     .longest = seconds(4),
                     .judges = false},
                    seed)
               .cut;
  }
  CHECK(cut > 0);
}

TEST_CASE("A stop waits for requests that come and answers that are taken") {
  for (const StopWork& work :
       {StopWork{.open = 1}, StopWork{.reading = 1}, StopWork{.delivering = 1},
        StopWork{.idle = 1}}) {
    PlannedStop stop = StopIn(StopPhase::kFinishing);
    CHECK(Advance(stop, work, true, kStart + seconds(7)) ==
          StopPhase::kFinishing);
    CHECK(Advance(stop, work, true, stop.ending_at()) == StopPhase::kEnding);
    CHECK(Advance(stop, work, true, kStart + kTerms.bound) ==
          StopPhase::kEnded);
  }
}

TEST_CASE("A stop waits for what it has counted, until the bound") {
  PlannedStop stop = StopIn(StopPhase::kFinishing);
  const TimePoint now = kStart + seconds(4);
  CHECK(Advance(stop, WorkWithout(seconds(1), now), false, now) ==
        StopPhase::kFinishing);
  CHECK(Advance(stop, WorkWithout(seconds(1), now), true, now) ==
        StopPhase::kEnded);
}

TEST_CASE("The address is closed once callers had notice and none comes") {
  const auto phase_after = [](Duration since, Duration quiet_for,
                              bool has_refused) {
    PlannedStop stop = StopIn(StopPhase::kServing);
    stop.has_refused = has_refused;
    const TimePoint now = kStart + since;
    StopWork work = WorkWithout(quiet_for, now);
    work.open = 1;
    work.has_others = true;
    return Advance(stop, work, true, now);
  };
  CHECK(phase_after(seconds(3), seconds(3), false) == StopPhase::kServing);
  CHECK(phase_after(seconds(3), seconds(0), true) == StopPhase::kServing);
  CHECK(phase_after(seconds(4), milliseconds(100), false) ==
        StopPhase::kServing);
  CHECK(phase_after(seconds(4), seconds(1), false) == StopPhase::kFinishing);
  // Callers that come later are refused by the system, which is sooner.
  CHECK(phase_after(seconds(4), seconds(0), true) == StopPhase::kFinishing);
  CHECK(phase_after(seconds(7), seconds(0), false) == StopPhase::kFinishing);
}

TEST_CASE("The last process keeps its address open while it has work") {
  const auto phase_with = [](size_t open, Duration since) {
    PlannedStop stop = StopIn(StopPhase::kServing);
    stop.has_refused = true;
    const TimePoint now = kStart + since;
    StopWork work = WorkWithout(Duration(0), now);
    work.open = open;
    return Advance(stop, work, true, now);
  };
  CHECK(phase_with(1, seconds(5)) == StopPhase::kServing);
  CHECK(phase_with(0, seconds(5)) != StopPhase::kServing);
  CHECK(phase_with(1, seconds(7)) == StopPhase::kFinishing);
}

TEST_CASE("Open work is ended once, also by a process that stood") {
  const auto ends_work = [](StopPhase before, StopPhase after, size_t open) {
    return has_reached_bound(StopIn(after), before, {.open = open});
  };
  CHECK(ends_work(StopPhase::kFinishing, StopPhase::kEnding, 1));
  CHECK(ends_work(StopPhase::kServing, StopPhase::kEnded, 1));
  CHECK_FALSE(ends_work(StopPhase::kServing, StopPhase::kFinishing, 1));
  CHECK_FALSE(ends_work(StopPhase::kFinishing, StopPhase::kEnded, 0));
  CHECK_FALSE(ends_work(StopPhase::kEnding, StopPhase::kEnded, 1));
}

}  // namespace bramleyspan::drain
