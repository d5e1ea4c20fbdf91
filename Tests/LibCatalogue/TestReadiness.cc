#include <doctest/doctest.h>

#include "LibCatalogue/Readiness.h"
#include "LibCatalogue/Watchers.h"

namespace bramleyspan::catalogue {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

Readiness StartWithPeer(const std::string& peer) {
  Readiness readiness;
  readiness.started = kStart;
  HandleListedPeer(readiness, peer);
  HandleListRead(readiness);
  return readiness;
}

}  // namespace

// An entry starts just after the key-value service was restored to an older
// state. If it served that state, its callers would see an edit undone that is
// in force in every other entry.
TEST_CASE("a starting process waits for the revision that a peer holds") {
  Readiness readiness = StartWithPeer("entry-1");
  HandleStoreAnswer(readiness, 5);
  CHECK_FALSE(UpdateReadiness(readiness, 5, kStart));
  HandlePeerRevision(readiness, "entry-1", 7);
  CHECK_FALSE(UpdateReadiness(readiness, 5, kStart));
  CHECK(UpdateReadiness(readiness, 7, kStart));
}

// The key-value service is unavailable when an entry starts; its peers have the
// complete catalogue.
TEST_CASE("a peer replaces the store during an outage") {
  Readiness readiness = StartWithPeer("entry-1");
  CHECK_FALSE(UpdateReadiness(readiness, 0, kStart + kPeerWait));
  HandlePeerRevision(readiness, "entry-1", 7);
  CHECK(UpdateReadiness(readiness, 7, kStart));
}

// A failed VM that is still listed must not keep new processes from serving.
TEST_CASE("an unresponsive peer delays a start by a bounded time") {
  Readiness readiness = StartWithPeer("entry-1");
  HandleStoreAnswer(readiness, 5);
  CHECK_FALSE(UpdateReadiness(readiness, 5, kStart));
  CHECK(UpdateReadiness(readiness, 5, kStart + kPeerWait));
}

TEST_CASE("a lost peer is not waited for") {
  Readiness readiness = StartWithPeer("entry-1");
  HandleStoreAnswer(readiness, 5);
  HandleLostPeer(readiness, "entry-1");
  CHECK(UpdateReadiness(readiness, 5, kStart));
}

// If all 340 entries watched, each change would be read 340 times at once.
TEST_CASE("two entries of a zone watch the store") {
  constexpr size_t kEntriesOfZone = 57;
  std::vector<std::string> zone;
  zone.reserve(kEntriesOfZone);
  for (size_t i = 0; i < kEntriesOfZone; ++i) {
    zone.push_back("entry-" + std::to_string(i));
  }
  size_t watchers = 0;
  for (const std::string& self : zone) {
    std::vector<std::string> others = zone;
    std::erase(others, self);
    watchers += is_watcher(self, others) ? 1 : 0;
  }
  CHECK(watchers == kWatchersPerZone);
  CHECK(is_watcher("entry-1", {}));
}

}  // namespace bramleyspan::catalogue
