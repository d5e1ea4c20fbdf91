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
  return member;
}

}  // namespace

TEST_CASE("A member is alive while something new is heard of it") {
  Members members{.own_name = "me"};
  CHECK(Learn(members, MemberOf("a", 1, 1), true, kStart));
  CHECK(LiveEntries(members, kStart).size() == 1);
  // The same record again, by whatever way, is no sign of life.
  const TimePoint later = kStart + kSuspectAfter + Duration(1);
  CHECK_FALSE(Learn(members, MemberOf("a", 1, 1), true, later));
  CHECK(LiveEntries(members, later).empty());
  CHECK(Learn(members, MemberOf("a", 1, 2), false, later));
  CHECK(LiveEntries(members, later).size() == 1);
}

// Story: a restarted entry was not named to callers for ten seconds. Its clock
// had been set back, so that its peers took its first records for old ones.
TEST_CASE("A restarted member's own word replaces that of the one before") {
  Members members{.own_name = "me"};
  Learn(members, MemberOf("a", 7, 500), true, kStart);
  SUBCASE("Hearsay about an unknown incarnation may be older: it waits") {
    CHECK_FALSE(Learn(members, MemberOf("a", 3, 1), false, kStart));
    CHECK(members.known["a"].member.incarnation == 7);
    CHECK(Learn(members, MemberOf("a", 3, 2), false,
                kStart + kSuspectAfter + Duration(1)));
  }
  SUBCASE("The process itself is believed at once") {
    CHECK(Learn(members, MemberOf("a", 3, 1), true, kStart));
    CHECK(members.known["a"].member.incarnation == 3);
  }
}

TEST_CASE("Leaving and unready members are not named, but count as at work") {
  Members members{.own_name = "me"};
  wire::MemberT leaving = MemberOf("a", 1, 1);
  leaving.is_leaving = true;
  wire::MemberT starting = MemberOf("bb", 1, 1);
  starting.is_ready = false;
  Learn(members, leaving, true, kStart);
  Learn(members, starting, true, kStart);
  CHECK(LiveEntries(members, kStart).empty());
  CHECK(CountEntries(members, kStart) == 3);
}

// Story: 340 gateways each asked the store every two seconds whether anything
// had changed, which is a seventh of all calls that it takes.
TEST_CASE("A few gateways watch closely, whoever of them dies") {
  Members members{.own_name = "me"};
  constexpr uint64_t kOwn = 50;
  CHECK(is_close_watcher(members, kOwn, kStart));
  for (uint64_t other = 1; other <= kCloseWatchers; ++other) {
    CHECK(is_close_watcher(members, kOwn, kStart));
    Learn(members, MemberOf(std::string(other, 'a'), other, 1), true, kStart);
  }
  Learn(members, MemberOf("later", kOwn + 1, 1), true, kStart);
  CHECK_FALSE(is_close_watcher(members, kOwn, kStart));
  SUBCASE("one of them falls silent") {
    const TimePoint later = kStart + kSuspectAfter + Duration(1);
    for (uint64_t other = 2; other <= kCloseWatchers; ++other) {
      Learn(members, MemberOf(std::string(other, 'a'), other, 2), true, later);
    }
    CHECK(is_close_watcher(members, kOwn, later));
  }
  SUBCASE("one of them leaves") {
    wire::MemberT leaving = MemberOf("a", 1, 2);
    leaving.is_leaving = true;
    Learn(members, leaving, true, kStart);
    CHECK(is_close_watcher(members, kOwn, kStart));
  }
}

// Failure: nobody whom the store answers asks it soon.
TEST_CASE("Close watchers that the store turns away are relieved") {
  Members members{.own_name = "me"};
  constexpr uint64_t kOwn = 50;
  for (uint64_t other = 1; other <= kCloseWatchers; ++other) {
    Learn(members, MemberOf(std::string(other, 'a'), other, 1), true, kStart);
  }
  REQUIRE_FALSE(is_close_watcher(members, kOwn, kStart));
  wire::MemberT lost = MemberOf("a", 1, 2);
  lost.hears_store = false;
  Learn(members, lost, true, kStart);
  CHECK(is_close_watcher(members, kOwn, kStart));
  SUBCASE("not by one that is turned away itself") {
    members.own.hears_store = false;
    CHECK_FALSE(is_close_watcher(members, kOwn, kStart));
  }
  SUBCASE("but go on themselves, lest nobody asks") {
    Members of_lost{.own_name = "a"};
    of_lost.own.hears_store = false;
    Learn(of_lost, MemberOf("me", kOwn, 1), true, kStart);
    CHECK(is_close_watcher(of_lost, 1, kStart));
  }
  SUBCASE("until they hear it again") {
    wire::MemberT back = MemberOf("a", 1, 3);
    Learn(members, back, true, kStart);
    CHECK_FALSE(is_close_watcher(members, kOwn, kStart));
  }
}

TEST_CASE("A datagram that is cut or garbled is refused") {
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
