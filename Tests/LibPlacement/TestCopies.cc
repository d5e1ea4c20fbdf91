#include <random>
#include <set>

#include "LibPlacement/Copies.h"
#include "LibPlacement/DemandTracker.h"
#include "Tests/Property.h"

namespace bramleyspan::placement {

namespace {

constexpr uint16_t kExperts = 64;
constexpr uint16_t kRanks = 8;

RankLists RoundRobinLists() {
  RankLists lists(kRanks);
  for (uint16_t expert = 0; expert < kExperts; ++expert) {
    lists[expert % kRanks].push_back(expert);
  }
  return lists;
}

// Shares of 0.3, 0.11 and 0.07 for three experts, the rest evenly.
Shares SkewedShares() {
  Shares shares(kExperts, 0.52 / 61);
  shares[3] = 0.3;
  shares[20] = 0.11;
  shares[41] = 0.07;
  return shares;
}

CopyLimits Limits(uint32_t max_copies) {
  return {.expert_slots_per_rank = 11, .spare = 4, .max_copies = max_copies};
}

bool is_complete(const RankLists& lists) {
  std::set<uint16_t> held;
  for (const auto& list : lists) {
    if (list.size() > 11 ||
        std::set<uint16_t>(list.begin(), list.end()).size() != list.size()) {
      return false;
    }
    held.insert(list.begin(), list.end());
  }
  return held.size() == kExperts;
}

}  // namespace

TEST_CASE("Few copies even out a skewed set, and each expert keeps a copy") {
  std::vector<uint32_t> new_on_rank;
  const CopyPlan plan =
      PlanCopies(RoundRobinLists(), SkewedShares(), {}, Limits(6), new_on_rank);
  CHECK(plan.skew_before > 2.5);
  CHECK(plan.skew_after < 1.4);
  CHECK(plan.copies <= 6);
  CHECK(is_complete(plan.lists));
}

TEST_CASE("Repeated demand shifts never remove the last copy of an expert") {
  RankLists lists = RoundRobinLists();
  for (uint16_t shift = 0; shift < 60; ++shift) {
    Shares shares(kExperts, 0.4 / 62);
    shares[shift * 7 % kExperts] = 0.4;
    shares[shift * 13 % kExperts] += 0.2;
    std::vector<uint32_t> new_on_rank;
    lists = PlanCopies(lists, shares, {}, Limits(3), new_on_rank).lists;
    REQUIRE(is_complete(lists));
  }
}

// A copy that relieves one of several equally loaded ranks does not lower the
// skew by itself. A search that looks at the skew alone adds none.
TEST_CASE("Equally loaded ranks are relieved together") {
  constexpr uint16_t kManyRanks = 24;
  constexpr uint16_t kManyExperts = 48;
  RankLists lists(kManyRanks);
  Shares shares(kManyExperts, 0.4 / 36);
  for (uint16_t expert = 0; expert < kManyExperts; ++expert) {
    lists[expert % kManyRanks].push_back(expert);
  }
  for (uint16_t hot = 0; hot < 12; ++hot) {
    shares[hot] = 0.6 / 12;
  }
  std::vector<uint32_t> new_on_rank;
  const CopyPlan plan = PlanCopies(lists, shares, {},
                                   {.expert_slots_per_rank = 3,
                                    .spare = 2,
                                    .max_copies = 12,
                                    .min_gain = 0.3 / kManyRanks},
                                   new_on_rank);
  CHECK(plan.skew_before > 1.4);
  CHECK(plan.skew_after < 1.15);
  CHECK(plan.copies == 12);
}

// A rank's report lists an expert that the set does not have.
TEST_CASE("An unknown expert in a rank's list is left in place") {
  RankLists lists = RoundRobinLists();
  lists[3].push_back(kExperts + 900);
  std::vector<uint32_t> new_on_rank;
  const CopyPlan plan =
      PlanCopies(lists, SkewedShares(), {}, Limits(6), new_on_rank);
  CHECK(plan.lists[3].size() >= lists[3].size());
  CHECK(plan.skew_after < 1.4);
}

// One rank takes seven times as long as the others, and all of them wait for it
// in every step.
TEST_CASE("Experts move away from a slow rank") {
  CopyLimits limits = Limits(8);
  limits.paces = std::vector<double>(kRanks, 1);
  limits.paces[2] = 7;
  std::vector<uint32_t> new_on_rank;
  const Shares even(kExperts, 1.0 / kExperts);
  const CopyPlan plan =
      PlanCopies(RoundRobinLists(), even, {}, limits, new_on_rank);
  CHECK(plan.skew_before > 6);
  CHECK(plan.skew_after < 2);
  CHECK(plan.lists[2].size() < 4);
  CHECK(is_complete(plan.lists));
}

TEST_CASE("Even demand needs no copies") {
  std::vector<uint32_t> new_on_rank;
  const Shares even(kExperts, 1.0 / kExperts);
  CHECK(
      PlanCopies(RoundRobinLists(), even, {}, Limits(4), new_on_rank).copies ==
      0);
}

TEST_CASE("A demand shift restarts the estimate, a small change is averaged") {
  DemandTracker tracker;
  std::vector<std::vector<double>> choices(1, std::vector<double>(4, 250));
  CHECK(ObserveChoices(tracker, choices));
  choices[0] = {270, 230, 250, 250};
  CHECK_FALSE(ObserveChoices(tracker, choices));
  CHECK(tracker.shifts == 0);
  CHECK(tracker.present[0][0] > 0.25);
  CHECK(tracker.present[0][0] < 0.27);
  choices[0] = {900, 50, 25, 25};
  CHECK(ObserveChoices(tracker, choices));
  CHECK(tracker.shifts == 1);
  CHECK(tracker.present[0][0] == doctest::Approx(0.9));
  CHECK(tracker.remembered.size() == 1);
  SUBCASE("Too few choices make no sample") {
    choices[0] = {0, 0, 0, 100};
    CHECK_FALSE(ObserveChoices(tracker, choices));
    CHECK(tracker.shifts == 1);
  }
}

// Guards against a search that copies and sums the lists of all ranks for every
// candidate: it blocks the owner's event loop for 0.1 s in a group of 96 ranks.
TEST_CASE(
    "Plans for large groups: property, the planned skew is that of the lists") {
  tests::CheckProperty("planned and actual skew are equal", [] {
    const auto ranks = *rc::gen::inRange<uint16_t>(2, 128);
    const auto experts = *rc::gen::inRange<uint16_t>(ranks, 256);
    std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
    std::gamma_distribution<double> popularity(0.5, 1);
    RankLists lists(ranks);
    Shares shares;
    for (uint16_t expert = 0; expert < experts; ++expert) {
      lists[expert % ranks].push_back(expert);
      shares.push_back(popularity(random));
    }
    const uint32_t slots = (experts + ranks - 1U) / ranks + 1;
    std::vector<uint32_t> new_on_rank;
    const CopyPlan plan = PlanCopies(lists, shares, {},
                                     {.expert_slots_per_rank = slots,
                                      .spare = 2,
                                      .max_copies = 40,
                                      .max_new_on_rank = 1},
                                     new_on_rank);
    RC_ASSERT(plan.skew_after <= plan.skew_before);
    RC_ASSERT(std::abs(plan.skew_after - SkewOf(plan.lists, shares)) < 1e-6);
    std::set<uint16_t> held;
    for (const auto& list : plan.lists) {
      RC_ASSERT(list.size() <= slots);
      held.insert(list.begin(), list.end());
    }
    RC_ASSERT(held.size() == experts);
  });
}

}  // namespace bramleyspan::placement
