#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

#include "LibPlacement/Rebalancer.h"
#include "LibPlacement/StoreBudget.h"
#include "Tests/Property.h"

namespace bramleyspan::placement {

namespace {

constexpr uint32_t kExperts = 64;
constexpr double kTokens = 2048;
constexpr Shape kShape{.ranks = 16, .slots_per_rank = 6};

Shares ZipfShares(uint32_t seed) {
  Shares shares(kExperts);
  for (uint32_t expert = 0; expert < kExperts; ++expert) {
    shares[expert] = 1.0 / (expert + 1);
  }
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (double& share : shares) {
    share /= sum;
  }
  std::mt19937 random(seed);
  std::shuffle(shares.begin(), shares.end(), random);
  return shares;
}

std::vector<uint32_t> SampleStep(const Shares& shares, std::mt19937& random) {
  std::discrete_distribution<uint32_t> choose(shares.begin(), shares.end());
  std::vector<uint32_t> counts(shares.size(), 0);
  for (int token = 0; token < kTokens; ++token) {
    ++counts[choose(random)];
  }
  return counts;
}

// Returns shares with random noise: requests that run concurrently share
// topics.
Shares AddNoise(Shares shares, std::mt19937& random) {
  std::normal_distribution<double> normal(0, 0.1);
  for (double& share : shares) {
    share *= std::exp(normal(random));
  }
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (double& share : shares) {
    share /= sum;
  }
  return shares;
}

RebalanceSettings MakeSettings() {
  RebalanceSettings settings;
  settings.shape = kShape;
  settings.expert_bytes = 44'000'000;
  settings.skew_weight = 0.8;
  settings.tokens_per_step = kTokens;
  return settings;
}

Rebalancer StartPackedFor(const Shares& shares,
                          const RebalanceSettings& settings) {
  return StartRebalancer(settings, {{PackLayer(shares, kShape)}}).value();
}

// Advances a rebalancer in virtual time: it observes a step every 10 s,
// proposes a plan every minute and switches to it at once. Returns the loads of
// all plans.
struct VirtualRun {
  Rebalancer rebalancer;
  TimePoint now{};
  std::mt19937 random{7};

  std::vector<ExpertLoad> Advance(Duration length, const Shares& shares) {
    std::vector<ExpertLoad> all;
    for (const TimePoint end = this->now + length; this->now < end;) {
      this->now += std::chrono::seconds(10);
      ObserveLayer(this->rebalancer, 0, SampleStep(shares, this->random),
                   this->now);
      if (this->now.time_since_epoch() % std::chrono::minutes(1) !=
          Duration{}) {
        continue;
      }
      const Proposal proposal = ProposePlan(this->rebalancer, this->now);
      if (!proposal.plan) {
        continue;
      }
      CHECK(Check(proposal.plan->placement, kShape).has_value());
      all.insert(all.end(), proposal.plan->loads.begin(),
                 proposal.plan->loads.end());
      HandleSwitched(this->rebalancer, *proposal.plan, this->now);
    }
    return all;
  }
};

}  // namespace

// A few sampled steps make an even placement look uneven. A planner that reacts
// to this noise moves copies back and forth, and each switch stalls the group.
TEST_CASE("noise without drift causes no loads") {
  const Shares shares = ZipfShares(1);
  RebalanceSettings settings = MakeSettings();
  // Loads cost nothing, so only the noise threshold prevents plans.
  settings.skew_weight = 1;
  VirtualRun run{.rebalancer = StartPackedFor(shares, settings)};
  std::mt19937 random(3);
  size_t loads = 0;
  for (int minute = 0; minute < 120; ++minute) {
    loads +=
        run.Advance(std::chrono::minutes(1), AddNoise(shares, random)).size();
  }
  CHECK(loads == 0);
}

// Popularity alternates between two topics every few minutes. A planner without
// a record of recent changes loads, drops and reloads the same copies and keeps
// the weight store busy.
TEST_CASE("undoing a recent change has a higher price") {
  const Shape shape{.ranks = 3, .slots_per_rank = 2};
  const Shares shares{0.8, 0.1, 0.1};
  const LayerPlacement layer{{{0}, {1}, {2}}};
  const auto first = ImproveLayer(layer, shares, shape, {.max_loads = 1});
  REQUIRE(first.size() == 1);
  const Copy added = first[0].loads[0];
  const SearchLimits limits{.max_loads = 1, .recent = {added}};
  const auto second = ImproveLayer(layer, shares, shape, limits);
  REQUIRE(second.size() == 1);
  CHECK(second[0].loads[0] != added);
  CHECK(PriceInLoads(first[0], limits) == limits.undo_price);
}

// Copies that a plan loads or drops are recorded for the settle time and
// removed afterwards.
TEST_CASE("a plan's changes are recorded until the settle time is over") {
  VirtualRun run{.rebalancer = StartPackedFor(ZipfShares(1), MakeSettings())};
  CHECK(!run.Advance(std::chrono::minutes(30), ZipfShares(2)).empty());
  const auto& recent = run.rebalancer.recent;
  CHECK(std::any_of(recent.begin(), recent.end(),
                    [](const auto& change) { return change.is_load; }));
  CHECK(std::any_of(recent.begin(), recent.end(),
                    [](const auto& change) { return !change.is_load; }));
  ProposePlan(run.rebalancer, run.now + std::chrono::hours(2));
  CHECK(std::all_of(recent.begin(), recent.end(),
                    [&](const auto& change) { return change.at > run.now; }));
}

// The popularity of every expert changes at once. Without a budget the group
// loads all its weights within minutes and delays the loads of all other
// groups.
TEST_CASE(
    "a change of all popularities stays within the hourly budget of loads") {
  RebalanceSettings settings = MakeSettings();
  settings.loads_per_hour = 6;
  VirtualRun run{.rebalancer = StartPackedFor(ZipfShares(1), settings)};
  const auto loads = run.Advance(std::chrono::minutes(59), ZipfShares(2));
  CHECK(loads.size() > 0);
  CHECK(loads.size() <= 6);
  CHECK(ProposePlan(run.rebalancer, run.now).hold != HoldReason::kNone);
}

// A plan made while another one is loading would race with it.
TEST_CASE("no second plan is proposed while one is underway") {
  VirtualRun run{.rebalancer = StartPackedFor(ZipfShares(1), MakeSettings())};
  std::mt19937 random(1);
  for (int step = 1; step <= 20; ++step) {
    ObserveLayer(run.rebalancer, 0, SampleStep(ZipfShares(2), random),
                 TimePoint(std::chrono::seconds(10 * step)));
  }
  const TimePoint now(std::chrono::minutes(4));
  REQUIRE(ProposePlan(run.rebalancer, now).plan.has_value());
  CHECK(ProposePlan(run.rebalancer, now).hold == HoldReason::kPlanUnderway);
  HandleAbandoned(run.rebalancer);
  CHECK(ProposePlan(run.rebalancer, now).plan.has_value());
}

// A skew weight of zero means that the operator wants no placement changes.
TEST_CASE("a skew weight of zero never proposes a plan") {
  RebalanceSettings settings = MakeSettings();
  settings.skew_weight = 0;
  VirtualRun run{.rebalancer = StartPackedFor(ZipfShares(1), settings)};
  CHECK(run.Advance(std::chrono::hours(1), ZipfShares(2)).empty());
}

// Without its last copy an expert's tokens have no rank; with more copies than
// slots an engine runs out of memory in the switch.
TEST_CASE("property: a plan keeps a copy of each expert within the slots") {
  tests::CheckProperty("any prefix of the changes is a valid placement", [] {
    const Shape shape{*rc::gen::inRange<uint32_t>(2, 9),
                      *rc::gen::inRange<uint32_t>(2, 6)};
    const auto experts =
        *rc::gen::inRange<uint32_t>(2, shape.ranks * shape.slots_per_rank + 1);
    const auto weights = *rc::gen::container<std::vector<uint32_t>>(
        experts, rc::gen::inRange<uint32_t>(1, 100));
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    Shares shares;
    for (const uint32_t weight : weights) {
      shares.push_back(weight / sum);
    }
    LayerPlacement layer = PackLayer(Shares(experts, 1.0 / experts), shape);
    RC_ASSERT(Check({{layer}}, shape).has_value());
    for (const Change& change :
         ImproveLayer(layer, shares, shape, {.staging_slots = 3})) {
      Apply(layer, change);
      RC_ASSERT(Check({{layer}}, shape).has_value());
    }
  });
}

// Without the noise floor a placement looks bad for a skew that comes from the
// randomness of a step alone, and changes are made that cannot help.
TEST_CASE("even loads have the skew of the noise floor") {
  CHECK(ExpectedSkew(std::vector<double>(32, 1.0), 2048) ==
        doctest::Approx(1.26).epsilon(0.02));
  CHECK(ExpectedSkew(std::vector<double>(32, 1.0), 16384) ==
        doctest::Approx(1.09).epsilon(0.02));
}

TEST_CASE("an observation older than the last one is dropped") {
  Popularity popularity;
  const TimePoint start(std::chrono::hours(1));
  ObserveStep(popularity, {10, 0}, std::chrono::minutes(5), start);
  ObserveStep(popularity, {0, 1000}, std::chrono::minutes(5),
              start - std::chrono::seconds(1));
  CHECK(EstimateShares(popularity)[0] == doctest::Approx(1));
}

// The response to a group is lost and the group requests again, or one group
// requests ten times as often as the others to get more.
TEST_CASE("a repeated request grants nothing twice, and groups share evenly") {
  StoreBudget budget{.bytes_per_second = 100, .burst_bytes = 1000};
  TimePoint now(std::chrono::hours(1));
  CHECK(RequestBytes(budget, "a", 1, 5000, now) == 0);
  CHECK(RequestBytes(budget, "b", 1, 5000, now) == 0);
  uint64_t granted = 0;
  for (int second = 1; second <= 20; ++second) {
    now += std::chrono::seconds(1);
    for (int repeat = 0; repeat < 10; ++repeat) {
      granted = RequestBytes(budget, "a", 1, 5000, now);
    }
    const uint64_t other = RequestBytes(budget, "b", 1, 5000, now);
    CHECK(granted + other <= 100 * static_cast<uint64_t>(second));
  }
  CHECK(granted >= 900);
  CHECK(granted <= 1100);
}

}  // namespace bramleyspan::placement
