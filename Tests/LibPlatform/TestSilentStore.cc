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
constexpr Duration kLongestSilence = seconds(12);
constexpr Duration kStep = milliseconds(70);

// A feed whose store falls silent some time after a change, and returns.
struct SilentSpell {
  Duration bound;
  Duration watch_wait;
  // From the last change that was heard to the silence.
  Duration quiet;
  Duration silence;
};

// How long after the store's return the feed hears of a change that was made
// then; none if it never does.
std::optional<Duration> HeardAfter(const SilentSpell& spell) {
  VirtualTime time;
  SimulatedStore simulated(time, kOneWay);
  Store store = simulated.AsStore();
  std::optional<TimePoint> heard;
  FeedEvents events;
  events.on_change = [&](const StoreItem& item, FeedSource) {
    if (item.key == "table/after") {
      heard = time.now;
    }
  };
  PrefixFeedSettings settings = CloseFeedSettings("table/", spell.bound);
  settings.watch_wait = spell.watch_wait;
  PrefixFeed feed(time.timers(), store, settings, events);
  feed.Start();
  time.RunFor(seconds(1));
  simulated.Write("table/before");
  time.RunFor(spell.quiet);
  simulated.FallSilent();
  time.RunFor(spell.silence);
  simulated.Return();
  const TimePoint returned = time.now;
  simulated.Write("table/after");
  time.RunFor(seconds(30));
  if (!heard) {
    return std::nullopt;
  }
  return *heard - returned;
}

}  // namespace

// Failure: a lost watch and a grown pause are waited for after the return.
TEST_CASE("A change after a silent spell of the store is heard in time") {
  for (const Duration bound :
       {seconds(1), seconds(2), seconds(3), seconds(5)}) {
    CAPTURE(bound.count());
    Duration worst{};
    for (Duration silence{}; silence <= kLongestSilence; silence += kStep) {
      for (const Duration quiet : {milliseconds(50), milliseconds(800)}) {
        const auto heard = HeardAfter({.bound = bound,
                                       .watch_wait = CloseWatchWait(bound),
                                       .quiet = quiet,
                                       .silence = silence});
        REQUIRE(heard);
        worst = std::max(worst, *heard);
      }
    }
    CHECK(worst <= bound);
  }
}

// Failure: long watches were sat out one after the other, for half a minute.
TEST_CASE(
    "A feed that knows the store to be silent asks soon after its return") {
  constexpr Duration kBound = seconds(3);
  constexpr Duration kRelaxedWait = seconds(8);
  Duration worst{};
  for (Duration silence = kRelaxedWait + seconds(1);
       silence <= kRelaxedWait + kLongestSilence; silence += kStep) {
    const auto heard = HeardAfter({.bound = kBound,
                                   .watch_wait = kRelaxedWait,
                                   .quiet = milliseconds(50),
                                   .silence = silence});
    REQUIRE(heard);
    worst = std::max(worst, *heard);
  }
  CHECK(worst <= kBound);
}

}  // namespace bramleyspan::platform
