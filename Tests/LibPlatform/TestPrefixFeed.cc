#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibPlatform/PrefixFeed.h"
#include "VirtualTime.h"

namespace bramleyspan::platform {

namespace {

// A store whose calls the test answers.
struct ScriptedStore {
  VirtualTime time;
  Store store;
  std::vector<std::function<void(Result<RangePage>)>> ranges;
  std::vector<std::function<void(Result<WatchAnswer>)>> watches;
  std::vector<uint64_t> watched_after;
  std::vector<Duration> waits;
  std::vector<std::string> changes;
  std::unique_ptr<PrefixFeed> feed;

  explicit ScriptedStore(Duration cooldown = Duration(0)) {
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
    PrefixFeedSettings settings{
        .prefix = "servers/",
        .cooldown = cooldown,
        .max_cooldown = cooldown * 4,
        .retry_delay = std::chrono::milliseconds(1),
        .lag_grace = std::chrono::milliseconds(20),
        .recovery_grace = std::chrono::milliseconds(40)};
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

// Failure: a server that had left got requests for a minute. The store had
// dropped its history, with the removal of the server, between two watches.
TEST_CASE("A feed reads the prefix again if its history is gone") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}, {"servers/b", "1", 6}}, 9);
  fixture.FailWatch(ErrorCode::kHistoryGone);
  fixture.AnswerRange({{"servers/b", "1", 6}}, 30);
  CHECK(fixture.changes.back() == "-servers/a");
}

TEST_CASE("A watch is retried from the same revision") {
  ScriptedStore fixture;
  fixture.AnswerRange({}, 9);
  fixture.FailWatch(ErrorCode::kOutcomeUnknown);
  CHECK_FALSE(fixture.feed->is_reachable());
  fixture.RunFor(std::chrono::milliseconds(20));
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 9});
}

// Failure: all servers were dropped when the store recovered from an outage.
// Their leases had expired meanwhile, and they registered again a second later.
TEST_CASE(
    "Keys removed during an outage of the store stay for a grace period") {
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

// Failure: a gateway that the store refused sent requests to a server that had
// left, though its peers had the removal for seconds.
TEST_CASE("Updates of a peer are merged by revision, older ones dropped") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->Merge({{"servers/a", "", 15, true}}, 0);
  CHECK(fixture.changes.back() == "-servers/a");
  fixture.feed->Merge({{"servers/a", "old", 12}}, 0);
  CHECK(fixture.feed->items().at("servers/a").is_removed);
  fixture.AnswerWatch({{"servers/a", "1", 5}}, 10);
  CHECK(fixture.feed->items().at("servers/a").is_removed);
}

// Failure: at a start each of 42 gateways sent the store a new watch for each
// of 67 servers that registered. The calls cost a tenth of the day's revenue.
TEST_CASE("The next watch after changes is delayed: a burst costs one call") {
  ScriptedStore fixture(std::chrono::milliseconds(10));
  fixture.AnswerRange({}, 9);
  fixture.AnswerWatch({{"servers/a", "1", 11}}, 11);
  CHECK(fixture.watched_after.size() == 1);
  fixture.RunFor(std::chrono::milliseconds(30));
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 11});
  SUBCASE("The next watch after an answer without changes is not delayed") {
    fixture.AnswerWatch({}, 15);
    CHECK(fixture.watched_after.back() == 15);
  }
}

// Failure: desired states came every 80 ms for two seconds, and each of nine
// gateways sent the store a new watch after each.
TEST_CASE("The delay after changes grows while they continue") {
  constexpr Duration kCooldown = std::chrono::milliseconds(10);
  ScriptedStore fixture(kCooldown);
  fixture.AnswerRange({}, 9);
  fixture.AnswerWatch({{"servers/a", "1", 11}}, 11);
  fixture.RunFor(kCooldown * 2);
  REQUIRE(fixture.watched_after == std::vector<uint64_t>{9, 11});
  // The next cooldown is twice as long.
  fixture.AnswerWatch({{"servers/a", "1", 12}}, 12);
  fixture.RunFor(kCooldown * 3 / 2);
  CHECK(fixture.watched_after.size() == 2);
  fixture.RunFor(kCooldown * 3 / 2);
  CHECK(fixture.watched_after == std::vector<uint64_t>{9, 11, 12});
}

// Failure: passive gateways have long watches and notice late that a connection
// to the store is unresponsive. A server that had left got requests from them
// for eight seconds, though a peer had sent them the removal.
TEST_CASE("A watch that lacks a change received from a peer is restarted") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->Merge({{"servers/a", "", 15, true}}, 0);
  CHECK(fixture.changes.back() == "-servers/a");
  SUBCASE("it returns nothing") {
    fixture.RunFor(std::chrono::milliseconds(40));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 9});
  }
  SUBCASE("it returns the change a moment later") {
    fixture.AnswerWatch({{"servers/a", "", 15, true}}, 16);
    fixture.RunFor(std::chrono::milliseconds(40));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 16});
  }
}

// Failure: the active watchers were killed, and those that replaced them first
// waited for the end of the long watch that they had begun.
TEST_CASE("A shorter wait applies at once, a longer one to the next watch") {
  ScriptedStore fixture;
  fixture.AnswerRange({}, 9);
  fixture.feed->SetWatchTiming(std::chrono::seconds(8), Duration(0));
  CHECK(fixture.waits.size() == 1);
  fixture.AnswerWatch({}, 10);
  CHECK(fixture.waits.back() == std::chrono::seconds(8));
  fixture.feed->SetWatchTiming(std::chrono::seconds(2), Duration(0));
  CHECK(fixture.waits.size() == 3);
  CHECK(fixture.waits.back() == std::chrono::seconds(2));
}

// Failure: 149 gateways each got every change from the store, though all of
// them got it from a peer too. Nothing that they did cost more than these
// calls.
TEST_CASE("A feed that gets updates from peers watches with pauses") {
  constexpr Duration kPause = std::chrono::milliseconds(30);
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->SetWatchTiming(std::chrono::milliseconds(1), kPause);
  fixture.AnswerWatch({}, 10);
  CHECK(fixture.watched_after == std::vector<uint64_t>{9});
  SUBCASE("it watches after the pause") {
    fixture.RunFor(kPause * 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
  SUBCASE("it watches from the end of complete updates of a peer") {
    fixture.feed->Merge({{"servers/a", "2", 15}}, 16);
    fixture.RunFor(kPause * 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 16});
  }
  SUBCASE("it watches sooner if a peer's updates are incomplete") {
    fixture.feed->Merge({{"servers/a", "2", 15}}, 0);
    fixture.RunFor(std::chrono::milliseconds(25));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
  SUBCASE("if the store does not answer") {
    fixture.RunFor(kPause * 2);
    fixture.FailWatch(ErrorCode::kConnectionFailed);
    fixture.RunFor(kPause / 2);
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
    SUBCASE("it retries after the pause") {
      fixture.RunFor(kPause);
      CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10, 10});
    }
    SUBCASE("it retries at once if it becomes an active watcher") {
      fixture.feed->SetWatchTiming(std::chrono::seconds(2), Duration(0));
      CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10, 10});
    }
  }
  SUBCASE("it watches at once if it becomes an active watcher") {
    fixture.feed->SetWatchTiming(std::chrono::seconds(2), Duration(0));
    CHECK(fixture.watched_after == std::vector<uint64_t>{9, 10});
  }
}

TEST_CASE("A feed reports itself complete only if it lacks no change") {
  ScriptedStore fixture;
  CHECK(fixture.feed->complete_to() == 0);
  fixture.AnswerRange({{"servers/a", "1", 5}, {"servers/b", "1", 6}}, 9);
  CHECK(fixture.feed->complete_to() == 9);
  SUBCASE("not while the store has just recovered") {
    fixture.FailWatch(ErrorCode::kConnectionFailed);
    fixture.RunFor(std::chrono::milliseconds(5));
    fixture.AnswerWatch({}, 10);
    CHECK(fixture.feed->complete_to() == 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.feed->complete_to() == 10);
  }
  SUBCASE("not while a removal is deferred") {
    fixture.feed->SetWatchTiming(std::chrono::milliseconds(1),
                                 std::chrono::milliseconds(10));
    fixture.AnswerWatch({{"servers/a", "", 12, true}}, 12);
    CHECK(fixture.feed->complete_to() == 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "-servers/a");
    CHECK(fixture.feed->complete_to() == 12);
  }
}

// Failure: leases expired during an outage of the store. A feed that watches
// with pauses had not noticed the outage, and dropped all servers at its next
// watch.
TEST_CASE("A feed that watches with pauses defers removals") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->SetWatchTiming(std::chrono::milliseconds(1),
                               std::chrono::milliseconds(10));
  fixture.AnswerWatch({{"servers/a", "", 12, true}}, 12);
  CHECK(fixture.changes.back() == "+servers/a");
  // Failure: updates after the revision of the own watch were requested from a
  // peer, past the deferred removal, and a server that had left got requests
  // for two seconds.
  CHECK(fixture.feed->updates_from() < 12);
  SUBCASE("the key is written again") {
    fixture.feed->Merge({{"servers/a", "1", 13}}, 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "+servers/a");
  }
  SUBCASE("a peer sends the removal") {
    fixture.feed->Merge({{"servers/a", "", 12, true}}, 12);
    CHECK(fixture.changes.back() == "-servers/a");
  }
}

// Failure: a later change in the same answer hides a deferred removal, so that
// it is not requested from the peers that know it.
TEST_CASE("A deferred removal is requested from peers whatever came after it") {
  ScriptedStore fixture;
  fixture.AnswerRange({{"servers/a", "1", 5}}, 9);
  fixture.feed->SetWatchTiming(std::chrono::milliseconds(1),
                               std::chrono::milliseconds(10));
  fixture.AnswerWatch({{"servers/a", "", 12, true}, {"servers/b", "1", 13}},
                      13);
  CHECK(fixture.feed->updates_from() < 12);
  CHECK(fixture.feed->newest_revision() < 12);
  SUBCASE("a peer sends the removal") {
    fixture.feed->Merge({{"servers/a", "", 12, true}, {"servers/b", "1", 13}},
                        13);
    CHECK(fixture.changes.back() == "-servers/a");
  }
  SUBCASE("the key is written again") {
    fixture.feed->Merge({{"servers/a", "1", 14}}, 0);
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "+servers/a");
  }
  SUBCASE("no peer knows it") {
    fixture.RunFor(std::chrono::milliseconds(60));
    CHECK(fixture.changes.back() == "-servers/a");
  }
  CHECK(fixture.feed->newest_revision() >= 13);
  CHECK(fixture.feed->updates_from() >= 13);
}

}  // namespace bramleyspan::platform
