#include <random>
#include <set>

#include "LibPlacement/Copies.h"
#include "LibPlacement/DemandTracker.h"
#include "Tests/Property.h"

namespace bramleyspan::placement {

namespace {

constexpr uint16_t kExperts = 64;
constexpr uint16_t kRanks = 8;

RankLists InTurn() {
  RankLists lists(kRanks);
  for (uint16_t expert = 0; expert < kExperts; ++expert) {
    lists[expert % kRanks].push_back(expert);
  }
  return lists;
}

// A few experts take most: 0.3, 0.11, 0.07, the rest evenly.
Shares HotShares() {
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

TEST_CASE("Few copies even out a hot set, and each expert keeps a copy") {
  std::vector<uint32_t> new_on_rank;
  const CopyPlan plan =
      PlanCopies(InTurn(), HotShares(), {}, Limits(6), new_on_rank);
  CHECK(plan.skew_before > 2.5);
  CHECK(plan.skew_after < 1.4);
  CHECK(plan.copies <= 6);
  CHECK(is_complete(plan.lists));
}

TEST_CASE("Demand that jumps again and again never costs an expert its copy") {
  RankLists lists = InTurn();
  for (uint16_t turn = 0; turn < 60; ++turn) {
    Shares shares(kExperts, 0.4 / 62);
    shares[turn * 7 % kExperts] = 0.4;
    shares[turn * 13 % kExperts] += 0.2;
    std::vector<uint32_t> new_on_rank;
    lists = PlanCopies(lists, shares, {}, Limits(3), new_on_rank).lists;
    REQUIRE(is_complete(lists));
  }
}

// Failure: a copy that relieves one of several lowers no skew, so none is made.
TEST_CASE("Ranks that are equally loaded are relieved together") {
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

// Failure: a rank names an expert that the set does not have.
TEST_CASE("An expert that no set has is left where it is") {
  RankLists lists = InTurn();
  lists[3].push_back(kExperts + 900);
  std::vector<uint32_t> new_on_rank;
  const CopyPlan plan =
      PlanCopies(lists, HotShares(), {}, Limits(6), new_on_rank);
  CHECK(plan.lists[3].size() >= lists[3].size());
  CHECK(plan.skew_after < 1.4);
}

// Story: one rank of a group took seven times as long as the others, and all
// of them waited for it in every step.
TEST_CASE("A slow rank is relieved of its experts") {
  CopyLimits limits = Limits(8);
  limits.paces = std::vector<double>(kRanks, 1);
  limits.paces[2] = 7;
  std::vector<uint32_t> new_on_rank;
  const Shares even(kExperts, 1.0 / kExperts);
  const CopyPlan plan = PlanCopies(InTurn(), even, {}, limits, new_on_rank);
  CHECK(plan.skew_before > 6);
  CHECK(plan.skew_after < 2);
  CHECK(plan.lists[2].size() < 4);
  CHECK(is_complete(plan.lists));
}

TEST_CASE("An even demand moves nothing") {
  std::vector<uint32_t> new_on_rank;
  const Shares even(kExperts, 1.0 / kExperts);
  CHECK(PlanCopies(InTurn(), even, {}, Limits(4), new_on_rank).copies == 0);
}

TEST_CASE("A jump of demand begins anew, a drift is averaged") {
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
  SUBCASE("Too few choices say nothing") {
    choices[0] = {0, 0, 0, 100};
    CHECK_FALSE(ObserveChoices(tracker, choices));
    CHECK(tracker.shifts == 1);
  }
}

// Failure: each try of a copy copied and summed up the lists of all ranks, and
// a plan for 96 of them stopped the owner's loop for a tenth of a second.
TEST_CASE("Plans for large groups: property, the skew is that of the lists") {
  tests::CheckProperty("promised and real skew are the same", [] {
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
    const uint32_t places = (experts + ranks - 1U) / ranks + 1;
    std::vector<uint32_t> new_on_rank;
    const CopyPlan plan = PlanCopies(lists, shares, {},
                                     {.expert_slots_per_rank = places,
                                      .spare = 2,
                                      .max_copies = 40,
                                      .max_new_on_rank = 1},
                                     new_on_rank);
    RC_ASSERT(plan.skew_after <= plan.skew_before);
    RC_ASSERT(std::abs(plan.skew_after - SkewOf(plan.lists, shares)) < 1e-6);
    std::set<uint16_t> held;
    for (const auto& list : plan.lists) {
      RC_ASSERT(list.size() <= places);
      held.insert(list.begin(), list.end());
    }
    RC_ASSERT(held.size() == experts);
  });
}

}  // namespace bramleyspan::placement
