#include <doctest/doctest.h>

#include <vector>

#include "LibMapSwitch/Switch.h"

namespace bramleyspan::mapswitch {

namespace {

constexpr uint32_t kRanks = 3;

// A group of which every rank reports at once what it was ordered.
struct Group {
  MapSwitch owner;
  std::vector<RankStatus> ranks;
  TimePoint now{std::chrono::seconds(1000)};

  Group() {
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      this->ranks.push_back({.group = "g",
                             .epoch = 1,
                             .rank = rank,
                             .size = kRanks,
                             .is_open = true,
                             .step = 10,
                             .map = 1});
    }
  }

  void Report() {
    this->now += std::chrono::milliseconds(10);
    for (const RankStatus& rank : this->ranks) {
      HandleStatus(this->owner, rank, this->now);
    }
    Continue(this->owner, this->now);
  }

  bool may_owner_leave() const {
    return mapswitch::may_owner_leave(this->owner, this->now);
  }

  // Continues until the switch waits for the go.
  void ArmAll() {
    this->Report();
    StartSwitch(this->owner, {{{0}, {1}, {2}}}, this->now);
    for (RankStatus& rank : this->ranks) {
      rank.prepared = this->owner.desired_map.version;
    }
    this->Report();
    this->ranks[1].held = this->owner.desired_map.hold_step;
    this->Report();
    this->Report();
    for (RankStatus& rank : this->ranks) {
      rank.armed = this->owner.desired_map.version;
      rank.armed_step = this->owner.desired_map.arm_step;
    }
    this->Report();
  }
};

}  // namespace

TEST_CASE("an owner without a switch may leave") {
  Group group;
  group.Report();
  CHECK(group.may_owner_leave());
}

TEST_CASE("an owner may leave while ranks copy a map") {
  Group group;
  group.Report();
  StartSwitch(group.owner, {{{0}, {1}, {2}}}, group.now);
  group.Report();
  CHECK(group.owner.phase == SwitchPhase::kPreparing);
  CHECK(group.may_owner_leave());
}

// Failure: the owner stops between hold and go, and the group begins no pass
// until another agent misses it.
TEST_CASE("an owner stays until the held group is released") {
  Group group;
  group.ArmAll();
  group.Report();
  CHECK(group.owner.phase == SwitchPhase::kReleasing);
  CHECK_FALSE(group.may_owner_leave());
  const Version version = group.owner.desired_map.version;
  for (RankStatus& rank : group.ranks) {
    rank.held = 0;
    rank.armed = 0;
    rank.armed_step = 0;
    rank.map = version;
  }
  group.Report();
  CHECK(group.owner.phase == SwitchPhase::kIdle);
  CHECK(group.may_owner_leave());
}

TEST_CASE("an owner stays once a hold may be on its way") {
  Group group;
  group.Report();
  StartSwitch(group.owner, {{{0}, {1}, {2}}}, group.now);
  for (RankStatus& rank : group.ranks) {
    rank.prepared = group.owner.desired_map.version;
  }
  group.Report();
  CHECK(group.owner.phase == SwitchPhase::kHolding);
  CHECK_FALSE(group.may_owner_leave());
}

TEST_CASE("an owner that finds a held group stays") {
  Group group;
  group.ranks[2].held = 11;
  group.ranks[2].prepared = 5;
  group.ranks[1].prepared = 4;
  group.Report();
  CHECK_FALSE(group.may_owner_leave());
}

}  // namespace bramleyspan::mapswitch
