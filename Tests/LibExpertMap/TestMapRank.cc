#include <doctest/doctest.h>

#include "LibExpertMap/MapOwner.h"
#include "LibExpertMap/MapRank.h"

namespace bramleyspan::expertmap {

namespace {

constexpr MapVersion kOldMap = 1;
constexpr MapVersion kNewMap = 2;

// A rank whose engine uses the old map, holds the new one too, and has been
// granted ten steps.
MapRank MakeRank() {
  MapRank rank{.group = "g", .rank = 1};
  rank.engine = EngineStatus{.step = 5,
                             .granted_until = 10,
                             .version = kOldMap,
                             .from_step = 1,
                             .loaded = {kOldMap, kNewMap}};
  return rank;
}

MapOrder MakeOrder(uint64_t incarnation, MapVersion version, Step from_step) {
  return {.group = "g",
          .incarnation = incarnation,
          .sequence = 1,
          .decision = Decision{{version, {}}, from_step},
          .granted_until = 20};
}

}  // namespace

// Users get garbled answers: rank 1 missed the switch at step 11, hears of it
// together with a grant up to step 20, and runs step 11 with the old experts
// while rank 0 uses the new ones. The cause: the grant went first.
TEST_CASE("a rank schedules the decided map before it passes on a grant") {
  MapRank rank = MakeRank();
  const RankEffects first = HandleMapOrder(rank, MakeOrder(1, kNewMap, 11));
  REQUIRE(first.engine_order.has_value());
  CHECK(std::holds_alternative<SetMap>(*first.engine_order));
  EngineStatus status = *rank.engine;
  status.version = kNewMap;
  status.from_step = 11;
  const RankEffects second = HandleEngineStatus(rank, status, false);
  REQUIRE(second.engine_order.has_value());
  CHECK(std::holds_alternative<GrantSteps>(*second.engine_order));
}

// An owner was replaced while frozen. It wakes and sends its old order again:
// the rank answers it and runs further under an owner that no longer decides.
TEST_CASE("a rank refuses an owner with an older incarnation") {
  MapRank rank = MakeRank();
  HandleMapOrder(rank, MakeOrder(2, kOldMap, 1));
  const RankEffects effects = HandleMapOrder(rank, MakeOrder(1, kOldMap, 1));
  CHECK_FALSE(effects.report.has_value());
  CHECK(rank.stale_orders == 1);
  CHECK(rank.wanted->incarnation == 2);
}

// The connection to the engine breaks after an order was sent, so it may have
// been obeyed. An agent that trusts what it knew before tells the owner an old
// state as if it were the present one.
TEST_CASE(
    "a rank reads its engine back after a lost answer and after a start") {
  MapRank rank = MakeRank();
  HandleMapOrder(rank, MakeOrder(1, kNewMap, 11));
  HandleEngineLost(rank);
  MapOrder again = MakeOrder(1, kNewMap, 11);
  again.sequence = 2;
  const RankEffects effects = HandleMapOrder(rank, again);
  CHECK_FALSE(effects.report.has_value());
  REQUIRE(effects.engine_order.has_value());
  CHECK(std::holds_alternative<ReadStatus>(*effects.engine_order));
  MapRank fresh{.group = "g"};
  CHECK(std::holds_alternative<ReadStatus>(*StartRank(fresh).engine_order));
}

// Rank 0's agent logs a switch, orders its own engine to make it, and dies.
// Its successor reads the engine back before that order has arrived. Had it
// only the engines to ask, it would let rank 1 run on with the old map.
TEST_CASE("a new owner carries on with the decision in the log") {
  const DecisionLog log{7, "dead", Decision{{kNewMap, {}}, 11}};
  MapOwner owner;
  StartOwner(owner, "g", 2, "new", TimePoint{});
  const auto acquired =
      HandleLogRead(owner, StoredLog{3, Serialize(log)}, TimePoint{});
  const auto& swap = std::get<SwapLog>(acquired.at(0));
  CHECK(swap.expected_version == 3);
  const auto orders =
      HandleLogRead(owner, StoredLog{4, swap.text}, TimePoint{});
  const auto& order = std::get<SendOrder>(orders.at(0)).order;
  CHECK(order.incarnation == 8);
  CHECK(order.decision == log.decision);
}

// An owner frozen for a while decides a switch of its own although another
// process took over: the swap fails, and it must stop for good.
TEST_CASE("an owner that finds a successor in the log stops") {
  MapOwner owner;
  StartOwner(owner, "g", 1, "old", TimePoint{});
  const auto acquired = HandleLogRead(owner, StoredLog{}, TimePoint{});
  const std::string own = std::get<SwapLog>(acquired.at(0)).text;
  HandleLogRead(owner, StoredLog{1, own}, TimePoint{});
  HandleLogRead(owner, StoredLog{2, Serialize(DecisionLog{2, "new", {}})},
                TimePoint{});
  CHECK(owner.phase == OwnerPhase::kFencedOff);
  CHECK(ProposeMap(owner, PlaceRoundRobin(2, 1, 2)).empty());
  CHECK(HandleOwnerTick(owner, TimePoint{}).empty());
}

}  // namespace bramleyspan::expertmap
