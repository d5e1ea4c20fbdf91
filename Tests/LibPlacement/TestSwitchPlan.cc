#include <doctest/doctest.h>

#include <algorithm>

#include "LibPlacement/SwitchPlan.h"

namespace bramleyspan::placement {

namespace {

constexpr uint16_t kExperts = 64;
constexpr uint16_t kRanks = 8;
constexpr size_t kSets = 6;
constexpr SwitchLimits kLimits{.ranks = kRanks,
                               .expert_slots_per_rank = 11,
                               .spare = 4};
constexpr Duration kPause = std::chrono::milliseconds(120);

SetLists RoundRobinLists() {
  RankLists lists(kRanks);
  for (uint16_t expert = 0; expert < kExperts; ++expert) {
    lists[expert % kRanks].push_back(expert);
  }
  return SetLists(kSets, lists);
}

// Returns demand in which one expert of each set, a different one in each, has
// the share `hot` of that set.
DemandTracker DemandWith(const std::vector<double>& hot) {
  DemandTracker demand;
  for (size_t set = 0; set < hot.size(); ++set) {
    Shares shares(kExperts, (1 - hot[set]) / (kExperts - 1));
    shares[set] = hot[set];
    demand.present.push_back(shares);
  }
  return demand;
}

std::vector<size_t> NewOnRanks(const SetLists& before, const SetLists& after) {
  std::vector<size_t> counts(kRanks, 0);
  for (size_t set = 0; set < after.size(); ++set) {
    for (size_t rank = 0; rank < kRanks; ++rank) {
      const auto& old = before[set][rank];
      for (const uint16_t expert : after[set][rank]) {
        counts[rank] +=
            std::find(old.begin(), old.end(), expert) == old.end() ? 1 : 0;
      }
    }
  }
  return counts;
}

}  // namespace

// Guards against two copies at one rank: they queue on its link, and the whole
// group runs on its old map until the second has arrived, 0.15 s after all
// others.
TEST_CASE("A switch adds at most one copy to each rank") {
  const SwitchPlan plan = PlanSwitch(
      RoundRobinLists(), DemandWith({0.3, 0.3, 0.3, 0.3, 0.3, 0.3}), kLimits);
  CHECK(plan.copies == kRanks);
  for (const size_t count : NewOnRanks(RoundRobinLists(), plan.lists)) {
    CHECK(count <= 1);
  }
  CHECK(plan.skew_after < plan.skew_before - 0.5);
}

// Guards against a map that stays uneven for many switches, each with one copy
// per rank, although copies take hardly any time.
TEST_CASE("A switch adds several copies where each takes little time") {
  CHECK(CopiesPerRank(std::chrono::milliseconds(400)) == 1);
  CHECK(CopiesPerRank(std::chrono::milliseconds(18)) > 1);
  CHECK(CopiesPerRank(Duration(0)) == 1);
  SwitchLimits limits = kLimits;
  limits.copies_per_rank = 2;
  const DemandTracker demand = DemandWith({0.3, 0.3, 0.3, 0.3, 0.3, 0.3});
  const SwitchPlan one = PlanSwitch(RoundRobinLists(), demand, kLimits);
  const SwitchPlan two = PlanSwitch(RoundRobinLists(), demand, limits);
  CHECK(two.copies > one.copies);
  CHECK(two.skew_after < one.skew_after - 0.2);
  for (const size_t count : NewOnRanks(RoundRobinLists(), two.lists)) {
    CHECK(count <= 2);
  }
}

TEST_CASE(
    "The remainder of the copies goes to the sets with the highest skew") {
  const SetLists before = RoundRobinLists();
  const SwitchPlan plan =
      PlanSwitch(before, DemandWith({0.1, 0.1, 0.4, 0.1, 0.1, 0.4}), kLimits);
  for (const size_t set : {size_t{2}, size_t{5}}) {
    size_t held = 0;
    for (const auto& list : plan.lists[set]) {
      held += list.size();
    }
    CHECK(held == kExperts + 2);
  }
}

TEST_CASE("A switch takes more than one expert from a slow rank") {
  SwitchLimits limits = kLimits;
  limits.paces = std::vector<double>(kRanks, 1);
  limits.paces[3] = 6;
  const SetLists before = RoundRobinLists();
  const SwitchPlan plan = PlanSwitch(
      before, DemandWith(std::vector<double>(kSets, 1.0 / 64)), limits);
  for (const auto& set : plan.lists) {
    CHECK(set[3].size() <= 5);
  }
}

// Guards against a limit of a few copies per set and switch as soon as one of
// many ranks is slow.
TEST_CASE("One slow rank does not reduce the copies for the others") {
  SwitchLimits limits = kLimits;
  limits.copies_per_rank = 6;
  const DemandTracker demand = DemandWith({0.3, 0.3, 0.3, 0.3, 0.3, 0.3});
  limits.paces = std::vector<double>(kRanks, 1);
  limits.paces[3] = 1.5;
  constexpr uint32_t kFewPerSet = 4;
  CHECK(PlanSwitch(RoundRobinLists(), demand, limits).copies >
        kFewPerSet * kSets);
}

// With passes of 40 ms where 120 ms are allowed, copies cost more than all else
// that is decided and help no caller.
TEST_CASE("Shorter passes require more gain of a switch") {
  CHECK(MinGainOfSwitch(kPause * 9 / 10, kPause) == doctest::Approx(0.12));
  CHECK(MinGainOfSwitch(kPause / 2, kPause) == doctest::Approx(0.12));
  CHECK(MinGainOfSwitch(kPause / 3, kPause) > 0.5);
  CHECK(MinGainOfSwitch(kPause / 5, kPause) > 1.4);
}

}  // namespace bramleyspan::placement
