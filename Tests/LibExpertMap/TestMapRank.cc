#include <doctest/doctest.h>

#include "LibExpertMap/MapOwner.h"
#include "LibExpertMap/MapRank.h"

namespace bramleyspan::expertmap {

namespace {

constexpr MapVersion kOldMap = 1;
constexpr MapVersion kNewMap = 2;

// Returns a rank whose engine uses the old map, has the new one loaded too, and
// may begin steps up to 10.
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

// Rank 1 missed the switch at step 11 and receives it together with a grant up
// to step 20. If the grant is sent first, rank 1 runs step 11 with the old
// experts while rank 0 uses the new ones, and answers are garbled.
TEST_CASE("a rank schedules the decided map before it forwards a grant") {
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

// An owner was replaced while frozen, resumes and repeats its old order. If the
// rank accepted it, it would run further under an owner that no longer decides.
TEST_CASE("a rank rejects an owner with an older incarnation") {
  MapRank rank = MakeRank();
  HandleMapOrder(rank, MakeOrder(2, kOldMap, 1));
  const RankEffects effects = HandleMapOrder(rank, MakeOrder(1, kOldMap, 1));
  CHECK_FALSE(effects.report.has_value());
  CHECK(rank.stale_order_count == 1);
  CHECK(rank.latest_order->incarnation == 2);
}

// The connection to the engine breaks after an order was sent, so the order may
// have been applied. An agent that relies on its earlier state would report an
// outdated state as the current one.
TEST_CASE("a rank reads its engine again after a lost answer and a start") {
  MapRank rank = MakeRank();
  HandleMapOrder(rank, MakeOrder(1, kNewMap, 11));
  HandleEngineLost(rank);
  MapOrder repeated = MakeOrder(1, kNewMap, 11);
  repeated.sequence = 2;
  const RankEffects effects = HandleMapOrder(rank, repeated);
  CHECK_FALSE(effects.report.has_value());
  REQUIRE(effects.engine_order.has_value());
  CHECK(std::holds_alternative<ReadStatus>(*effects.engine_order));
  MapRank started{.group = "g"};
  CHECK(std::holds_alternative<ReadStatus>(*StartRank(started).engine_order));
}

// Rank 0's agent logs a switch, orders its own engine to make it, and fails.
// Its successor reads the engine before that order has arrived. Without the log
// it would let rank 1 continue with the old map.
TEST_CASE("a new owner continues with the decision in the log") {
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

// An owner was frozen while another process took over, and then decides a
// switch. Its swap fails, and it must stop for good.
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
