#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "LibMembership/Members.h"

namespace bramleyspan::membership {

namespace {

const TimePoint kStart{std::chrono::seconds(100)};

wire::MemberT MemberOf(const std::string& name,
                       uint64_t incarnation,
                       uint64_t counter) {
  wire::MemberT member;
  member.name = name;
  member.is_entry = true;
  member.is_ready = true;
  member.ip = "10.0.0." + std::to_string(name.size());
  member.incarnation = incarnation;
  member.counter = counter;
  member.desired_revision = 1;
  return member;
}

}  // namespace

TEST_CASE("A member is alive while updates of its record arrive") {
  Members members{.own_name = "me"};
  CHECK(Merge(members, MemberOf("a", 1, 1), true, kStart));
  CHECK(LiveGateways(members, kStart).size() == 1);
  // The same record again is no update, even from the member itself.
  const TimePoint later = kStart + kSuspectAfter + Duration(1);
  CHECK_FALSE(Merge(members, MemberOf("a", 1, 1), true, later));
  CHECK(LiveGateways(members, later).empty());
  CHECK(Merge(members, MemberOf("a", 1, 2), false, later));
  CHECK(LiveGateways(members, later).size() == 1);
}

// Failure: a restarted gateway was not listed to callers for ten seconds. Its
// clock had been set back, so that peers dropped its first records as old.
TEST_CASE("A restarted member's direct record replaces the earlier one") {
  Members members{.own_name = "me"};
  Merge(members, MemberOf("a", 7, 500), true, kStart);
  SUBCASE("An indirect record of another incarnation waits, as it may be old") {
    CHECK_FALSE(Merge(members, MemberOf("a", 3, 1), false, kStart));
    CHECK(members.known["a"].member.incarnation == 7);
    CHECK(Merge(members, MemberOf("a", 3, 2), false,
                kStart + kSuspectAfter + Duration(1)));
  }
  SUBCASE("A direct record is accepted at once") {
    CHECK(Merge(members, MemberOf("a", 3, 1), true, kStart));
    CHECK(members.known["a"].member.incarnation == 3);
  }
}

TEST_CASE("Leaving and unready gateways are not listed, but count as running") {
  Members members{.own_name = "me"};
  wire::MemberT leaving = MemberOf("a", 1, 1);
  leaving.is_leaving = true;
  wire::MemberT starting = MemberOf("bb", 1, 1);
  starting.is_ready = false;
  Merge(members, leaving, true, kStart);
  Merge(members, starting, true, kStart);
  CHECK(LiveGateways(members, kStart).empty());
  CHECK(CountGateways(members, kStart) == 3);
}

// Failure: 340 gateways each called the store every two seconds to ask for
// changes, a seventh of all calls that it accepts.
TEST_CASE("A few gateways are active watchers, also after one of them ends") {
  Members members{.own_name = "me"};
  constexpr uint64_t kOwn = 50;
  CHECK(is_active_watcher(members, kOwn, kStart));
  for (uint64_t other = 1; other <= kActiveWatchers; ++other) {
    CHECK(is_active_watcher(members, kOwn, kStart));
    Merge(members, MemberOf(std::string(other, 'a'), other, 1), true, kStart);
  }
  Merge(members, MemberOf("later", kOwn + 1, 1), true, kStart);
  CHECK_FALSE(is_active_watcher(members, kOwn, kStart));
  SUBCASE("one of them stops responding") {
    const TimePoint later = kStart + kSuspectAfter + Duration(1);
    for (uint64_t other = 2; other <= kActiveWatchers; ++other) {
      Merge(members, MemberOf(std::string(other, 'a'), other, 2), true, later);
    }
    CHECK(is_active_watcher(members, kOwn, later));
  }
  SUBCASE("one of them leaves") {
    wire::MemberT leaving = MemberOf("a", 1, 2);
    leaving.is_leaving = true;
    Merge(members, leaving, true, kStart);
    CHECK(is_active_watcher(members, kOwn, kStart));
  }
}

// Failure: the store refuses all active watchers, and no gateway that it
// answers notices changes soon.
TEST_CASE("An active watcher that the store refuses gets a substitute") {
  Members members{.own_name = "me"};
  constexpr uint64_t kOwn = 50;
  for (uint64_t other = 1; other <= kActiveWatchers; ++other) {
    Merge(members, MemberOf(std::string(other, 'a'), other, 1), true, kStart);
  }
  REQUIRE_FALSE(is_active_watcher(members, kOwn, kStart));
  wire::MemberT lost = MemberOf("a", 1, 2);
  lost.hears_store = false;
  Merge(members, lost, true, kStart);
  CHECK(is_active_watcher(members, kOwn, kStart));
  SUBCASE("a gateway that is refused too is no substitute") {
    members.own.hears_store = false;
    CHECK_FALSE(is_active_watcher(members, kOwn, kStart));
  }
  SUBCASE("the refused watcher itself stays active, or there might be none") {
    Members members_of_lost{.own_name = "a"};
    members_of_lost.own.hears_store = false;
    Merge(members_of_lost, MemberOf("me", kOwn, 1), true, kStart);
    CHECK(is_active_watcher(members_of_lost, 1, kStart));
  }
  SUBCASE("the substitute stops once the store answers the watcher again") {
    wire::MemberT recovered = MemberOf("a", 1, 3);
    Merge(members, recovered, true, kStart);
    CHECK_FALSE(is_active_watcher(members, kOwn, kStart));
  }
}

// Failure: during a rolling upgrade all active watchers are of the build
// before, which does not pass evacuated zones on; the upgraded gateways, which
// hardly ask the store, learn of an evacuation a quarter of a minute later.
TEST_CASE("Active watchers that pass no evacuations on get substitutes") {
  Members members{.own_name = "me"};
  constexpr uint64_t kOwn = 50;
  for (uint64_t other = 1; other <= kActiveWatchers; ++other) {
    wire::MemberT older = MemberOf(std::string(other, 'a'), other, 1);
    older.desired_revision = 0;
    Merge(members, older, true, kStart);
  }
  CHECK(is_active_watcher(members, kOwn, kStart));
}

TEST_CASE("A datagram that is truncated or empty is rejected") {
  wire::HeartbeatT heartbeat;
  heartbeat.members.push_back(
      std::make_unique<wire::MemberT>(MemberOf("a", 1, 1)));
  const std::string bytes = Encode(std::move(heartbeat));
  REQUIRE(Decode(bytes).has_value());
  CHECK(Decode(bytes).value().body.AsHeartbeat()->members[0]->name == "a");
  CHECK(Decode(bytes.substr(0, bytes.size() / 2)).has_error());
  CHECK(Decode("").has_error());
}

}  // namespace bramleyspan::membership
