#include <doctest/doctest.h>

#include <set>

#include "Tests/LibMembership/SimulatedFleet.h"

namespace bramleyspan::membership {

namespace {

using std::chrono::seconds;

size_t CountThatName(const SimulatedFleet& fleet, size_t member) {
  size_t count = 0;
  for (size_t other = 0; other < fleet.size(); ++other) {
    count += other != member && fleet.is_named_by(member, other) ? 1 : 0;
  }
  return count;
}

const std::vector<std::vector<size_t>> kFleets{{1, 1},
                                               {6},
                                               {3, 3, 3},
                                               {13, 1, 1},
                                               {16, 15, 15},
                                               {28, 28, 31, 31, 31},
                                               {57, 57, 57, 57, 56, 56}};

}  // namespace

// Failure: with 149 gateways each believed most of the others dead.
TEST_CASE(
    "A view is steady while nothing changes, by bytes that grow with the fleet "
    "and not with its square") {
  constexpr double kMostOfFew = 20'000;
  constexpr double kMostPerMember = 250;
  for (const auto& zones : kFleets) {
    SimulatedFleet fleet(zones, 1);
    fleet.lost = 5;
    fleet.RunFor(seconds(4));
    fleet.false_suspicions = 0;
    fleet.RunFor(seconds(8));
    CAPTURE(fleet.size());
    CHECK(fleet.false_suspicions == 0);
    CHECK(fleet.BytesPerSecond() <
          kMostOfFew + kMostPerMember * static_cast<double>(fleet.size()));
    for (size_t member = 0; member < fleet.size(); ++member) {
      CHECK(fleet.CountNamed(member) == fleet.size() - 1);
    }
  }
}

TEST_CASE("Every gateway knows of a death and of a start within two seconds") {
  for (const auto& zones : kFleets) {
    SimulatedFleet fleet(zones, 2);
    fleet.RunFor(seconds(5));
    const size_t member = fleet.size() / 2;
    CAPTURE(fleet.size());
    fleet.Kill(member);
    fleet.RunFor(seconds(2));
    CHECK(CountThatName(fleet, member) == 0);
    fleet.Restart(member);
    fleet.RunFor(seconds(2));
    CHECK(CountThatName(fleet, member) == fleet.size() - 1);
  }
}

// Failure: signs of life made what others told of a record look old, and
// gateways that had become ready were not named for a quarter of a minute.
TEST_CASE("Every gateway knows within two seconds that one is ready or not") {
  for (const auto& zones : kFleets) {
    SimulatedFleet fleet(zones, 5);
    fleet.lost = 2;
    fleet.RunFor(seconds(4));
    CAPTURE(fleet.size());
    for (size_t member = 0; member < fleet.size(); member += 3) {
      fleet.SetReady(member, false);
    }
    const size_t unready = (fleet.size() + 2) / 3;
    fleet.RunFor(seconds(2));
    CHECK(fleet.CountNamed(1) == fleet.size() - unready - 1);
    for (size_t member = 0; member < fleet.size(); member += 3) {
      fleet.SetReady(member, true);
    }
    fleet.RunFor(seconds(2));
    for (size_t member = 0; member < fleet.size(); ++member) {
      CHECK(fleet.CountNamed(member) == fleet.size() - 1);
    }
  }
}

TEST_CASE("A sign of life of an earlier incarnation revives nobody") {
  SimulatedFleet fleet({8, 8}, 3);
  fleet.RunFor(seconds(5));
  wire::MemberT old;
  old.name = "gone";
  old.is_entry = true;
  old.incarnation = 1;
  old.counter = 1;
  Members members{.own_name = "me"};
  Learn(members, old, true, fleet.now);
  const wire::SignOfLife sign(members.known.at("gone").key, 9);
  wire::MemberT anew = old;
  anew.incarnation = 2;
  Learn(members, anew, true, fleet.now);
  const TimePoint later = fleet.now + kSuspectAfter + Duration(1);
  Learn(members, sign, later);
  CHECK_FALSE(is_alive(members.known.at("gone"), later));
}

TEST_CASE("In a large fleet a few are told at a time, and each in its turn") {
  Members members{.own_name = "me", .own_zone = "a"};
  constexpr size_t kCount = 340;
  for (size_t i = 0; i < kCount; ++i) {
    wire::MemberT member;
    member.name = "m" + std::to_string(i);
    member.is_entry = true;
    member.zone = i % 5 == 0 ? "a" : "b";
    member.ip = "10.0.1." + std::to_string(i);
    member.incarnation = i;
    member.counter = 1;
    Learn(members, member, true, TimePoint{});
  }
  std::set<std::string> told;
  for (uint64_t turn = 0; turn < kCount; ++turn) {
    const auto peers = PeersForHeartbeat(members, turn);
    CHECK(peers.size() == kNearPeers + kFarPeers);
    told.insert(peers.begin(), peers.end());
  }
  CHECK(told.size() == kCount);
  std::set<std::string> spoken_of;
  for (size_t turn = 0; turn < kCount; ++turn) {
    for (const auto* member : NextToTell(members, TimePoint{})) {
      spoken_of.insert(member->name);
    }
  }
  CHECK(spoken_of.size() == kCount);
}

TEST_CASE("A change of a record is told before what all know already") {
  Members members{.own_name = "me"};
  wire::MemberT member;
  member.is_entry = true;
  for (int i = 0; i < 20; ++i) {
    member.name = "m" + std::to_string(i);
    member.counter = 1;
    Learn(members, member, true, TimePoint{});
  }
  for (int turn = 0; turn < 200; ++turn) {
    NextToTell(members, TimePoint{});
  }
  member.name = "m7";
  member.counter = 2;
  member.is_leaving = true;
  Learn(members, member, true, TimePoint{});
  CHECK(NextToTell(members, TimePoint{}).front()->name == "m7");
}

}  // namespace bramleyspan::membership
