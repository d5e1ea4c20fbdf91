#include <doctest/doctest.h>

#include <set>

#include "LibGateway/Offers.h"

namespace bramleyspan::gateway {

namespace {

const TimePoint kStart{std::chrono::seconds(100)};

TargetTable TwoGroups() {
  TargetTable table;
  for (uint32_t rank = 0; rank < 16; ++rank) {
    const std::string id = "r" + std::to_string(rank);
    ApplyTarget(table, {.id = id,
                        .service = "models",
                        .address = {"10.0.0." + std::to_string(rank), 80},
                        .slots = 12});
    table.by_id[id].rank = RankView{.group = rank < 8 ? "a" : "b",
                                    .rank = rank % 8,
                                    .size = 8,
                                    .received_at = kStart};
  }
  return table;
}

}  // namespace

TEST_CASE("The same number of ranks is probed in each group") {
  const TargetTable table = TwoGroups();
  for (uint64_t bits = 1; bits < 20; ++bits) {
    size_t in_first = 0;
    const auto ranks =
        PickRanksToProbe(table, "models", {}, 6, "", bits * 7919, kStart);
    for (const TargetView* rank : ranks) {
      in_first += rank->rank->group == "a" ? 1 : 0;
    }
    CHECK(ranks.size() == 6);
    CHECK(in_first == 3);
  }
}

TEST_CASE("Unresponsive, avoided, tried and leaving ranks are not probed") {
  TargetTable table = TwoGroups();
  for (auto& [id, view] : table.by_id) {
    view.target.is_leaving = id != "r1" && id != "r2" && id != "r3";
  }
  table.by_id["r2"].rank->received_at = kStart - std::chrono::seconds(2);
  table.by_id["r3"].avoided_until = kStart + std::chrono::seconds(1);
  const auto ranks = PickRanksToProbe(table, "models", {}, 6, "", 1, kStart);
  REQUIRE(ranks.size() == 1);
  CHECK(ranks.front()->target.id == "r1");
  CHECK(PickRanksToProbe(table, "models", {"r1"}, 6, "", 1, kStart).empty());
}

// Failure: after a power outage a gateway knows all targets from the store but
// no agent. It sent 88 requests to groups that were being formed, and all were
// rejected.
TEST_CASE(
    "An agent that has not reported yet is probed at its target's address") {
  TargetTable table = TwoGroups();
  for (auto& [id, view] : table.by_id) {
    view.rank.reset();
  }
  const auto ranks = PickRanksToProbe(table, "models", {}, 6, "", 1, kStart);
  REQUIRE(ranks.size() == 6);
  CHECK(AgentIpOf(*ranks.front()) == ranks.front()->target.address.ip);
}

TEST_CASE("The admitting rank with the lowest utilization is chosen") {
  const auto chosen = ChooseOffer(
      {{.target = "full", .is_admitting = false, .load = 1, .limit = 8},
       {.target = "most", .is_admitting = true, .load = 3, .limit = 8},
       {.target = "small", .is_admitting = true, .load = 2, .limit = 4}});
  REQUIRE(chosen);
  CHECK(chosen->target == "most");
  CHECK_FALSE(ChooseOffer({{.target = "full"}}).has_value());
}

TEST_CASE("The offer of a slow group is chosen first") {
  const auto chosen = ChooseOffer(
      {{.target = "sound", .is_admitting = true, .load = 1, .limit = 8},
       {.target = "slow",
        .is_admitting = true,
        .is_slow = true,
        .load = 5,
        .limit = 8}});
  REQUIRE(chosen);
  CHECK(chosen->target == "slow");
}

// Failure: each stream is started at a rank anywhere, and two of three streams
// with their probes cross zones.
TEST_CASE("Ranks of the preferred zone are probed if it has enough of them") {
  TargetTable table = TwoGroups();
  int number = 0;
  for (auto& [id, view] : table.by_id) {
    view.target.zone = number++ % 4 == 0 ? "small" : "large";
  }
  const auto zones = [&table](std::string_view preferred, size_t count) {
    std::set<std::string> found;
    for (const TargetView* rank :
         PickRanksToProbe(table, "models", {}, count, preferred, 1, kStart)) {
      found.insert(rank->target.zone);
    }
    return found;
  };
  CHECK(zones("large", 6) == std::set<std::string>{"large"});
  CHECK(zones("small", 2) == std::set<std::string>{"small"});
  // Four ranks are too few for probes of six.
  CHECK(zones("small", 6).size() == 2);
  CHECK(zones("unknown", 6).size() == 2);
  SUBCASE("An evacuated zone is not preferred") {
    ApplyEvacuation(table.evacuated, "large", 1, kStart);
    CHECK(zones("large", 2) == std::set<std::string>{"small"});
  }
}

}  // namespace bramleyspan::gateway
