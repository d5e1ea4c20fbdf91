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

// An entry starts just after the key-value service came back with an older
// state. If it served what the service holds, callers would meet an edit undone
// that every other entry still has in force.
TEST_CASE("a starting process waits for the revision that a peer holds") {
  Readiness readiness = StartWithPeer("entry-1");
  HandleStoreAnswer(readiness, 5);
  CHECK_FALSE(UpdateReadiness(readiness, 5, kStart));
  HandlePeerRevision(readiness, "entry-1", 7);
  CHECK_FALSE(UpdateReadiness(readiness, 5, kStart));
  CHECK(UpdateReadiness(readiness, 7, kStart));
}

// The key-value service is down when an entry starts; its peers hold all that
// it needs.
TEST_CASE("a peer stands in for the store during an outage") {
  Readiness readiness = StartWithPeer("entry-1");
  CHECK_FALSE(UpdateReadiness(readiness, 0, kStart + kPeerWait));
  HandlePeerRevision(readiness, "entry-1", 7);
  CHECK(UpdateReadiness(readiness, 7, kStart));
}

// A VM has died and is listed still: its silence must not keep new processes
// from serving.
TEST_CASE("a silent peer delays a start by a bounded time") {
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

// 340 entries that all watch read each change 340 times at one moment.
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
