#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "LibPlatform/PrefixFeed.h"
#include "SimulatedStore.h"

namespace bramleyspan::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOneWay = milliseconds(2);
constexpr Duration kMaxOutage = seconds(12);
constexpr Duration kStep = milliseconds(70);

// An outage during which the store does not respond, and the settings of the
// feed that watches it.
struct Outage {
  Duration bound;
  Duration watch_wait;
  // Time from the last received change to the start of the outage.
  Duration since_change;
  Duration duration;
};

// Returns how long after the end of the outage a feed receives a change that
// was made at its end; none if it never does.
std::optional<Duration> DelayAfterRecovery(const Outage& outage) {
  VirtualTime time;
  SimulatedStore simulated(time, kOneWay);
  Store store = simulated.AsStore();
  std::optional<TimePoint> received_at;
  FeedEvents events;
  events.on_change = [&](const StoreItem& item, FeedSource) {
    if (item.key == "table/after") {
      received_at = time.now;
    }
  };
  PrefixFeedSettings settings = ActiveFeedSettings("table/", outage.bound);
  settings.watch_wait = outage.watch_wait;
  PrefixFeed feed(time.timers(), store, settings, events);
  feed.Start();
  time.RunFor(seconds(1));
  simulated.Write("table/before");
  time.RunFor(outage.since_change);
  simulated.StopResponding();
  time.RunFor(outage.duration);
  simulated.Recover();
  const TimePoint recovered_at = time.now;
  simulated.Write("table/after");
  time.RunFor(seconds(30));
  if (!received_at) {
    return std::nullopt;
  }
  return *received_at - recovered_at;
}

}  // namespace

// Failure: after the store has recovered, the feed first waits for the timeout
// of an unanswered watch and for a retry delay that has grown.
TEST_CASE(
    "A change after an outage of the store is received within the bound") {
  for (const Duration bound :
       {seconds(1), seconds(2), seconds(3), seconds(5)}) {
    CAPTURE(bound.count());
    Duration worst{};
    for (Duration duration{}; duration <= kMaxOutage; duration += kStep) {
      for (const Duration since_change :
           {milliseconds(50), milliseconds(800)}) {
        const auto delay =
            DelayAfterRecovery({.bound = bound,
                                .watch_wait = ActiveWatchWait(bound),
                                .since_change = since_change,
                                .duration = duration});
        REQUIRE(delay);
        worst = std::max(worst, *delay);
      }
    }
    CHECK(worst <= bound);
  }
}

// Failure: during an outage the feed sent one long watch after the other, and
// each ended only by its timeout, half a minute in all.
TEST_CASE(
    "A feed that has noticed an outage receives changes soon after its end") {
  constexpr Duration kBound = seconds(3);
  constexpr Duration kPassiveWait = seconds(8);
  Duration worst{};
  for (Duration duration = kPassiveWait + seconds(1);
       duration <= kPassiveWait + kMaxOutage; duration += kStep) {
    const auto delay = DelayAfterRecovery({.bound = kBound,
                                           .watch_wait = kPassiveWait,
                                           .since_change = milliseconds(50),
                                           .duration = duration});
    REQUIRE(delay);
    worst = std::max(worst, *delay);
  }
  CHECK(worst <= kBound);
}

}  // namespace bramleyspan::platform
