#include <doctest/doctest.h>

#include <map>

#include "SimulatedRanks.h"

namespace bramleyspan::mapswitch {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr uint32_t kRanks = 4;

// Servers differ in what the pages leave open.
void SetVariant(SimulatedRanks& ranks, uint64_t seed) {
  ranks.has_sequences = seed % 3 == 0;
  ranks.is_hold_replaced = seed % 2 == 0;
}

bool is_any_held(const SimulatedRanks& ranks) {
  for (uint32_t rank = 0; rank < ranks.size(); ++rank) {
    if (ranks.status(rank).held != 0) {
      return true;
    }
  }
  return false;
}

// Whether the group is kept from its next pass.
bool is_waiting(const SimulatedRanks& ranks) {
  for (uint32_t rank = 0; rank < ranks.size(); ++rank) {
    if (ranks.status(rank).held == ranks.step + 1) {
      return true;
    }
  }
  return false;
}

// What agents do with the library, on the simulated ranks: rank 0's leads,
// each one follows the wish that it last heard.
struct Agents {
  SimulatedRanks& ranks;
  MapSwitch owner;
  std::vector<std::optional<Wish>> wishes =
      std::vector<std::optional<Wish>>(kRanks);
  // While frozen the owner says and does nothing.
  TimePoint owner_frozen_until{};
  // Messages that are lost, out of 100.
  int lost_messages = 0;
  std::mt19937_64 random;
  int switches = 0;
  std::map<uint32_t, std::pair<std::string, TimePoint>> last_orders;

  explicit Agents(SimulatedRanks& ranks, uint64_t seed)
      : ranks(ranks), random(seed) {}

  bool is_lost() {
    return static_cast<int>(this->random() % 100) < this->lost_messages;
  }

  void SendOnce(uint32_t rank, const Order& order) {
    constexpr Duration kRepeat = std::chrono::milliseconds(100);
    constexpr Duration kRepeatPrepare = std::chrono::milliseconds(1500);
    const std::string name = NameOf(order.body) + std::to_string(order.epoch) +
                             "." + std::to_string(order.expected_sequence);
    auto& [last, at] = this->last_orders[rank];
    const Duration wait =
        NameOf(order.body) == "prepare" ? kRepeatPrepare : kRepeat;
    if (last == name && this->ranks.now - at < wait) {
      return;
    }
    last = name;
    at = this->ranks.now;
    this->ranks.Send(rank, order);
  }

  void Tick() {
    const TimePoint now = this->ranks.now;
    const bool is_frozen = now < this->owner_frozen_until;
    for (uint32_t rank = 0; rank < kRanks && !is_frozen; ++rank) {
      if (rank == 0 || !this->is_lost()) {
        HandleStatus(this->owner, this->ranks.status(rank), now);
      }
    }
    if (!is_frozen) {
      this->Lead(now);
    }
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      if (!this->wishes[rank] || (rank == 0 && is_frozen)) {
        continue;
      }
      const auto order =
          NextOrder(*this->wishes[rank], this->ranks.status(rank));
      if (order) {
        this->SendOnce(rank, *order);
      }
    }
  }

  void Lead(TimePoint now) {
    Continue(this->owner, now);
    if (is_ready_for_map(this->owner, now) || needs_switch(this->owner, now)) {
      ++this->switches;
      // Each plan is another map.
      const auto plan = static_cast<uint16_t>(this->switches);
      StartSwitch(this->owner, ExpertLists(1, {{0}, {1}, {2}, {plan}}), now);
    }
    if (this->owner.phase == SwitchPhase::kIdle) {
      return;
    }
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      if (rank == 0 || !this->is_lost()) {
        this->wishes[rank] = WishFor(this->owner, rank);
      }
    }
  }

  // The owner's process dies and another starts beside the same rank.
  void RestartOwner() {
    this->owner = {.version_offset = DrawVersionOffset(this->random())};
    this->wishes[0].reset();
    this->last_orders.erase(0);
  }

  // Another rank's agent reads all ranks and finishes what was begun.
  void StandIn(MapSwitch& deputy) {
    deputy.is_deputy = true;
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      HandleStatus(deputy, this->ranks.status(rank), this->ranks.now);
      Continue(deputy, this->ranks.now);
      const bool may_order = deputy.phase == SwitchPhase::kArming ||
                             deputy.phase == SwitchPhase::kReleasing;
      const auto order = NextOrder(deputy.wish, this->ranks.status(rank));
      if (may_order && order) {
        this->ranks.Send(rank, *order);
      }
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = this->ranks.now + time; this->ranks.now < end;) {
      this->ranks.Advance(kTick);
      this->Tick();
    }
  }
};

// Plays a case with many seeds, each in a variant of its own of what the pages
// leave open, with so many of a hundred orders carried out late.
template <typename Play>
void WithSeeds(uint64_t seeds, int late_orders, Play play) {
  for (uint64_t seed = 0; seed < seeds; ++seed) {
    CAPTURE(seed);
    SimulatedRanks ranks(kRanks, seed);
    SetVariant(ranks, seed);
    ranks.late_orders = late_orders;
    Agents agents(ranks, seed + 1);
    play(ranks, agents, seed);
  }
}

}  // namespace

TEST_CASE("A switch brings the map into force at all ranks in one pass") {
  SimulatedRanks ranks(kRanks, 1);
  Agents agents(ranks, 1);
  agents.Run(std::chrono::seconds(2));
  CHECK_FALSE(ranks.is_split);
  CHECK(ranks.status(0).map >= 2);
}

// Story: a stream broke off since its group went on with two maps. An order to
// arm was carried out seconds late, after the switch it belonged to.
TEST_CASE("Orders that are late or unanswered never split a group") {
  WithSeeds(200, 25,
            [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
              agents.lost_messages = 20;
              agents.Run(std::chrono::seconds(15));
              REQUIRE_FALSE(ranks.is_split);
            });
}

// Story: the owner's agent was killed after each of its orders in turn; the
// next one must finish what it finds, with late orders of the dead one about.
TEST_CASE("An owner that restarts at any moment finishes and never splits") {
  WithSeeds(200, 20,
            [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
              for (int kill = 0; kill < 20; ++kill) {
                agents.Run(std::chrono::milliseconds(
                    50 + ranks.now.time_since_epoch().count() / 50 % 17 * 50));
                agents.RestartOwner();
              }
              REQUIRE_FALSE(ranks.is_split);
              // Nothing that was begun keeps the group from going on.
              ranks.late_orders = 0;
              const Step before = ranks.step;
              agents.Run(std::chrono::seconds(12));
              REQUIRE(ranks.step > before + 20);
            });
}

// Story: an idle group makes no passes, so that a hold and an arm that are
// late may meet it long after the switch.
TEST_CASE("A group that falls idle in the middle of a switch is not split") {
  WithSeeds(200, 25,
            [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
              for (int turn = 0; turn < 10; ++turn) {
                ranks.has_work = turn % 2 == 0;
                agents.Run(std::chrono::milliseconds(700));
              }
              REQUIRE_FALSE(ranks.is_split);
            });
}

// Story: the machine of the agent that had just held the group was frozen for
// four seconds, and every stream of the group with it.
TEST_CASE("A deputy lets a held group go on while its owner is frozen") {
  SimulatedRanks ranks(kRanks, 1);
  Agents agents(ranks, 1);
  while (!is_any_held(ranks)) {
    agents.Run(kTick);
  }
  const Step held_before = ranks.step;
  agents.owner_frozen_until = ranks.now + std::chrono::seconds(4);
  MapSwitch deputy;
  for (int round = 0; round < 10; ++round) {
    agents.Run(kTick);
    agents.StandIn(deputy);
  }
  CHECK(ranks.step > held_before + 2);
  CHECK_FALSE(ranks.is_split);
}

TEST_CASE("A deputy beside an owner that is alive or wakes never splits") {
  WithSeeds(300, 20, [](SimulatedRanks& ranks, Agents& agents, uint64_t seed) {
    agents.lost_messages = 20;
    MapSwitch deputy;
    std::mt19937_64 random(seed);
    for (int turn = 0; turn < 150; ++turn) {
      if (random() % 20 == 0) {
        agents.owner_frozen_until =
            ranks.now + std::chrono::milliseconds(random() % 2000);
      }
      if (random() % 4 == 0) {
        agents.StandIn(deputy);
      }
      if (random() % 30 == 0) {
        deputy = {};
      }
      if (random() % 40 == 0) {
        agents.RestartOwner();
      }
      if (random() % 60 == 0) {
        ranks.Restart(static_cast<uint32_t>(random() % kRanks));
      }
      agents.Run(kTick);
    }
    REQUIRE_FALSE(ranks.is_split);
  });
}

// Story: an owner was killed right after its hold. Its successor named the pass
// to all agents at once, was killed as well, and a deputy that could not reach
// rank 0 took it for armed: the group went on with two maps. Specs/MapSwitch
// found it (variant RESUME_TELLING).
TEST_CASE("An owner that finds a held group arms its own rank first") {
  const TimePoint now{std::chrono::seconds(100)};
  MapSwitch owner;
  const auto hear = [&](Version armed) {
    for (uint32_t rank = 0; rank < 3; ++rank) {
      HandleStatus(owner,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 3,
                    .is_open = true,
                    .step = 4,
                    .prepared = 1,
                    .armed = rank == 0 ? armed : 0,
                    .armed_step = rank == 0 && armed != 0 ? Step{6} : Step{0},
                    .held = rank == 1 ? Step{6} : Step{0}},
                   now);
    }
    Continue(owner, now);
  };
  hear(0);
  CHECK(WishFor(owner, 0).arm_step == 6);
  CHECK(WishFor(owner, 1).arm_step == 0);
  hear(1);
  CHECK(WishFor(owner, 1).arm_step == 6);
}

TEST_CASE("A deputy trusts an owner that named the pass, and only then") {
  const TimePoint now{std::chrono::seconds(100)};
  const auto stand_in = [&](const Wish& heard) {
    MapSwitch deputy;
    deputy.is_deputy = true;
    TrustOwner(deputy, heard, 3, now);
    for (uint32_t rank = 1; rank < 3; ++rank) {
      HandleStatus(deputy,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 3,
                    .is_open = true,
                    .step = 5,
                    .prepared = 1,
                    .armed = 1,
                    .armed_step = 6,
                    .held = rank == 1 ? Step{6} : Step{0}},
                   now);
    }
    Continue(deputy, now);
    Continue(deputy, now);
    return deputy.wish.is_released;
  };
  Wish heard{.epoch = 1, .version = 1, .hold_step = 6, .holder = 1};
  CHECK_FALSE(stand_in(heard));
  heard.arm_step = 6;
  CHECK(stand_in(heard));
}

// Story: half of the orders got lost for a while. Each switch kept its group
// waiting for half a second, one after the other, and no stream was on time.
TEST_CASE("A group rests from switches after one that took its time") {
  SimulatedRanks ranks(kRanks, 3);
  ranks.late_orders = 60;
  Agents agents(ranks, 3);
  int held = 0;
  constexpr int kTicks = 600;
  for (int tick = 0; tick < kTicks; ++tick) {
    agents.Run(kTick);
    held += is_waiting(ranks) ? 1 : 0;
  }
  CHECK(held < kTicks / 8);
  CHECK_FALSE(ranks.is_split);
}

// Story: half of the orders got lost, the owner's machine froze while its group
// was held, and servers worked on for callers that had left: nothing but the
// owner's own machine could have let the group go on.
TEST_CASE("A group whose ranks lose orders is not held") {
  MapSwitch map_switch;
  const TimePoint now{std::chrono::seconds(100)};
  const auto hear = [&](uint32_t losing, Version prepared) {
    for (uint32_t rank = 0; rank < 8; ++rank) {
      HandleStatus(map_switch,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 8,
                    .is_open = true,
                    .is_losing_orders = rank < losing,
                    .prepared = prepared},
                   now);
    }
  };
  hear(3, 0);
  CHECK_FALSE(is_ready_for_map(map_switch, now));
  hear(2, 0);
  REQUIRE(is_ready_for_map(map_switch, now));
  StartSwitch(map_switch, ExpertLists(1), now);
  SUBCASE("The switch is given up before anything is held") {
    hear(3, 1);
    Continue(map_switch, now);
    CHECK(map_switch.phase == SwitchPhase::kIdle);
  }
  SUBCASE("A rank or two that lose one do not matter") {
    hear(2, 1);
    Continue(map_switch, now);
    CHECK(map_switch.phase == SwitchPhase::kHolding);
  }
}

// Story: a rank restarted in the middle of a switch; orders of the epoch
// before reached its server.
TEST_CASE("Orders of an epoch that is over are refused") {
  SimulatedRanks ranks(kRanks, 1);
  const Order old_order{
      .epoch = 1, .expected_sequence = 0, .body = Hold{.step = 5}};
  ranks.Restart(0);
  CHECK_FALSE(ranks.Execute(0, old_order));
}

namespace {

// Four ranks that have all prepared a map, as their owner sees them.
MapSwitch PreparedSwitch(TimePoint now) {
  MapSwitch map_switch;
  RankStatus status{.group = "g",
                    .epoch = 1,
                    .size = kRanks,
                    .is_open = true,
                    .step = 40,
                    .map = 1};
  for (status.rank = 0; status.rank < kRanks; ++status.rank) {
    HandleStatus(map_switch, status, now);
  }
  StartSwitch(map_switch, ExpertLists(1, {{0}, {1}, {2}, {3}}), now);
  status.prepared = map_switch.wish.version;
  for (status.rank = 0; status.rank < kRanks; ++status.rank) {
    HandleStatus(map_switch, status, now);
  }
  map_switch.pass = std::chrono::milliseconds(110);
  return map_switch;
}

}  // namespace

// Story: demand had jumped and passes took 110 ms. The copies were there, and
// yet the old map ran for a whole further pass, since the group was held two
// passes ahead although the one under way had just begun.
TEST_CASE("A group is held at the next pass where the arms have time") {
  const TimePoint now{std::chrono::seconds(1000)};
  MapSwitch map_switch = PreparedSwitch(now);
  SUBCASE("The pass has just begun") {
    map_switch.pass_began = now - std::chrono::milliseconds(15);
    Continue(map_switch, now);
    CHECK(map_switch.wish.hold_step == 41);
  }
  SUBCASE("The pass is nearly over") {
    map_switch.pass_began = now - std::chrono::milliseconds(80);
    Continue(map_switch, now);
    CHECK(map_switch.wish.hold_step == 42);
  }
  SUBCASE("Nothing is known of the pass") {
    Continue(map_switch, now);
    CHECK(map_switch.wish.hold_step == 42);
  }
  SUBCASE("Arms were lost lately and took long") {
    map_switch.arming_time = std::chrono::milliseconds(150);
    map_switch.pass_began = now;
    Continue(map_switch, now);
    CHECK(map_switch.wish.hold_step == 42);
  }
}

}  // namespace bramleyspan::mapswitch
