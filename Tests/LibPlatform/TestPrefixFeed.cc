#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibPlatform/PrefixFeed.h"
#include "VirtualTime.h"

namespace bramleyspan::platform {

namespace {

// A store whose answers the test gives.
struct ScriptedStore {
  VirtualTime time;
  Store store;
  std::vector<std::function<void(Result<RangePage>)>> ranges;
  std::vector<std::function<void(Result<WatchAnswer>)>> watches;
  std::vector<uint64_t> watched_after;
  std::vector<Duration> waits;
  std::vector<std::string> changes;
  std::unique_ptr<PrefixFeed> feed;

  explicit ScriptedStore(Duration rest = Duration(0)) {
    this->store.range = [this](const RangeCall&, auto on_done) {
      this->ranges.push_back(std::move(on_done));
    };
    this->store.watch = [this](const WatchCall& call, auto on_done) {
      this->watched_after.push_back(call.after);
      this->waits.push_back(call.wait);
      this->watches.push_back(std::move(on_done));
    };
    FeedEvents events;
    events.on_change = [this](const StoreItem& item, FeedSource) {
      this->changes.push_back((item.is_removed ? "-" : "+") + item.key);
    };
    PrefixFeedSettings settings{.prefix = "servers/",
                                .rest = rest,
                                .longest_rest = rest * 4,
                                .retry_delay = std::chrono::milliseconds(1),
                                .silence_grace = std::chrono::milliseconds(20),
                                .return_grace = std::chrono::milliseconds(40)};
    this->feed = std::make_unique<PrefixFeed>(this->time.timers(), this->store,
                                              settings, events);
    this->feed->Start();
  }

  void AnswerRange(const std::vector<StoreItem>& items, uint64_t revision) {
    auto answer = std::exchange(this->ranges, {}).back();
    answer(RangePage{.items = items, .revision = revision});
  }

  void AnswerWatch(const std::vector<StoreItem>& events, uint64_t revision) {
    auto answer = std::exchange(this->watches, {}).back();
    answer(WatchAnswer{.events = events, .revision = revision});
  }

  void FailWatch(ErrorCode code) {
    auto answer = std::exchange(this->watches, {}).back();
    answer(Fail(code, "store", "test"));
  }

  void RunFor(Duration span) { this->time.RunFor(span); }
};

}  // namespace

TEST_CASE("A feed reads the prefix, then watches from there") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  CHECK(fixture.watched_after == std::vector<uint64_t>{9});
  fixture.AnswerWatch({{"servers/b", "2", 11}, {"servers/a", "", 12, true}},
                      12);
  CHECK(fixture.changes ==
        std::vector<std::string>{"+servers/a", "+servers/b", "-servers/a"});
  CHECK(fixture.watched_after.back() == 12);
}

// Story: a server that had left got work for a minute. The store had dropped
// its history while the watch was away, and with it the server's removal.
TEST_CASE("A feed whose history is gone reads the prefix again") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}, {"servers/b", "1", 6}}, 9);
  fixture.FailWatch(ErrorCode::kHistoryGone);
  fixture.AnswerRange({{"servers/b", "1", 6}}, 30);
  CHECK(fixture.changes.back() == "-servers/a");
}

TEST_CASE("A failed watch goes on from where it was") {
  ScriptedStore fixture;
  fixture.AnswerRange({}, 9);
  fixture.FailWatch(ErrorCode::kOutcomeUnknown);
  CHECK_FALSE(fixture.feed->is_reached());
  fixture.RunFor(std::chrono::milliseconds(20));
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 9});
}

// Story: all servers were taken for gone when the store came back. Their leases
// had run out while it was down, and they were listed again a second later.
TEST_CASE("What vanished while the store was away may come back") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}, {"servers/b", "1", 6}}, 9);
  fixture.FailWatch(ErrorCode::kUnavailable);
  fixture.RunFor(std::chrono::milliseconds(10));
  fixture.AnswerWatch(
      {{"servers/a", "", 20, true}, {"servers/b", "", 21, true}}, 21);
  CHECK(fixture.changes.size() == 2);
  fixture.AnswerWatch({{"servers/a", "2", 22}}, 22);
  fixture.RunFor(std::chrono::milliseconds(80));
  CHECK(fixture.changes.back() == "-servers/b");
  CHECK_FALSE(fixture.feed->items().at("servers/a").is_removed);
}

// Story: an entry that the store turned away sent work to a server that had
// left; its peers had known for seconds.
TEST_CASE("What a peer knows is taken by revision, and never goes back") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->Merge({{"servers/a", "", 15, true}}, 0);
  CHECK(fixture.changes.back() == "-servers/a");
  fixture.feed->Merge({{"servers/a", "old", 12}}, 0);
  CHECK(fixture.feed->items().at("servers/a").is_removed);
  fixture.AnswerWatch({{"servers/a", "1", 5}}, 10);
  CHECK(fixture.feed->items().at("servers/a").is_removed);
}

// Story: at a start each of 42 gateways asked the store anew for each of 67
// servers that registered, and calls cost a tenth of what the day earned.
TEST_CASE("After changes a feed rests, so that a burst costs one watch") {
  ScriptedStore fixture(std::chrono::milliseconds(10));
  fixture.AnswerRange({}, 9);
  fixture.AnswerWatch({{"servers/a", "1", 11}}, 11);
  CHECK(fixture.watched_after.size() == 1);
  fixture.RunFor(std::chrono::milliseconds(30));
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 11});
  SUBCASE("An answer without changes is followed at once") {
    fixture.AnswerWatch({}, 15);
    CHECK(fixture.watched_after.back() == 15);
  }
}

// Story: desired states came every 80 ms for two seconds, and nine gateways
// asked the store anew after each.
TEST_CASE("A feed rests for longer while changes go on") {
  constexpr Duration kRest = std::chrono::milliseconds(10);
  ScriptedStore fixture(kRest);
  fixture.AnswerRange({}, 9);
  fixture.AnswerWatch({{"servers/a", "1", 11}}, 11);
  fixture.RunFor(kRest * 2);
  REQUIRE(fixture.watched_after == std::vector<uint64_t>{9, 11});
  // The next rest is twice as long.
  fixture.AnswerWatch({{"servers/a", "1", 12}}, 12);
  fixture.RunFor(kRest * 3 / 2);
  CHECK(fixture.watched_after.size() == 2);
  fixture.RunFor(kRest * 3 / 2);
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 11, 12});
}

// Story: only a few gateways notice soon that a channel to the store has fallen
// silent. The others' watches wait for long, and a server that left got work
// from them for eight seconds, though they had heard of it from a peer.
TEST_CASE("A watch that does not tell what a peer knows starts over") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->Merge({{"servers/a", "", 15, true}}, 0);
  CHECK(fixture.changes.back() == "-servers/a");
  SUBCASE("it is silent") {
    fixture.RunFor(std::chrono::milliseconds(40));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 9});
  }
  SUBCASE("it tells a moment later") {
    fixture.AnswerWatch({{"servers/a", "", 15, true}}, 16);
    fixture.RunFor(std::chrono::milliseconds(40));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 16});
  }
}

// Story: the gateways that watched closely were killed, and those that took
// over first sat out the long watch that they had begun.
TEST_CASE("A shorter wait holds at once, a longer one with the next watch") {
  ScriptedStore fixture;
  fixture.AnswerRange({}, 9);
  fixture.feed->SetWatching(std::chrono::seconds(8), Duration(0));
  CHECK(fixture.waits.size() == 1);
  fixture.AnswerWatch({}, 10);
  CHECK(fixture.waits.back() == std::chrono::seconds(8));
  fixture.feed->SetWatching(std::chrono::seconds(2), Duration(0));
  CHECK(fixture.waits.size() == 3);
  CHECK(fixture.waits.back() == std::chrono::seconds(2));
}

// Failure: 149 gateways each had every change from the store, which all of them
// had from a peer too; their calls were the dearest of all that they did.
TEST_CASE("A feed that hears from peers asks now and then") {
  constexpr Duration kPause = std::chrono::milliseconds(30);
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->SetWatching(std::chrono::milliseconds(1), kPause);
  fixture.AnswerWatch({}, 10);
  CHECK(fixture.watched_after == std::vector<uint64_t>{9});
  SUBCASE("after the pause") {
    fixture.RunFor(kPause * 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
  SUBCASE("from where whole news of a peer end") {
    fixture.feed->Merge({{"servers/a", "2", 15}}, 16);
    fixture.RunFor(kPause * 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 16});
  }
  SUBCASE("sooner where a peer's news are not whole") {
    fixture.feed->Merge({{"servers/a", "2", 15}}, 0);
    fixture.RunFor(std::chrono::milliseconds(25));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
  SUBCASE("also where the store does not answer") {
    fixture.RunFor(kPause * 2);
    fixture.FailWatch(ErrorCode::kConnectionFailed);
    fixture.RunFor(kPause / 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
    SUBCASE("after the pause") {
      fixture.RunFor(kPause);
      CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10, 10});
    }
    SUBCASE("and at once where it is to watch closely") {
      fixture.feed->SetWatching(std::chrono::seconds(2), Duration(0));
      CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10, 10});
    }
  }
  SUBCASE("at once where it is to watch closely") {
    fixture.feed->SetWatching(std::chrono::seconds(2), Duration(0));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
}

TEST_CASE("Only what is held whole is told as whole") {
  ScriptedStore fixture;
  CHECK(fixture.feed->complete_to() == 0);
  fixture.AnswerRange({{"servers/a", "1", 5}, {"servers/b", "1", 6}}, 9);
  CHECK(fixture.feed->complete_to() == 9);
  SUBCASE("not while the store has just come back") {
    fixture.FailWatch(ErrorCode::kConnectionFailed);
    fixture.RunFor(std::chrono::milliseconds(5));
    fixture.AnswerWatch({}, 10);
    CHECK(fixture.feed->complete_to() == 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.feed->complete_to() == 10);
  }
  SUBCASE("not while a removal is held") {
    fixture.feed->SetWatching(std::chrono::milliseconds(1),
                              std::chrono::milliseconds(10));
    fixture.AnswerWatch({{"servers/a", "", 12, true}}, 12);
    CHECK(fixture.feed->complete_to() == 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "-servers/a");
    CHECK(fixture.feed->complete_to() == 12);
  }
}

// Failure: leases ran out while the store was away. A feed that asks now and
// then had not noticed, and dropped all servers as soon as it asked.
TEST_CASE("A feed that asks now and then holds what vanished") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->SetWatching(std::chrono::milliseconds(1),
                            std::chrono::milliseconds(10));
  fixture.AnswerWatch({{"servers/a", "", 12, true}}, 12);
  CHECK(fixture.changes.back() == "+servers/a");
  // Failure: news were asked for from where the own watch stood, past what was
  // held back, and a server that was gone got work for two seconds.
  CHECK(fixture.feed->news_from() < 12);
  SUBCASE("it is back") {
    fixture.feed->Merge({{"servers/a", "1", 13}}, 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "+servers/a");
  }
  SUBCASE("a peer knows that it is gone") {
    fixture.feed->Merge({{"servers/a", "", 12, true}}, 12);
    CHECK(fixture.changes.back() == "-servers/a");
  }
}

}  // namespace bramleyspan::platform
