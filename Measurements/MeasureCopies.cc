// Measures the skew that remains after each map switch that follows a demand
// shift, and the time to plan a switch, for several group sizes and copies per
// rank.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <numeric>
#include <random>
#include <vector>

#include "LibPlacement/SwitchPlan.h"

namespace bramleyspan::placement {

namespace {

constexpr int kShifts = 10;
constexpr int kSwitches = 4;
constexpr int kTopics = 2;

struct Shape {
  uint32_t ranks = 0;
  uint32_t sets = 0;
  uint16_t experts = 0;
  uint32_t expert_slots_per_rank = 0;
  uint32_t spare = 0;
  // The exponent of Zipf's law.
  double exponent = 1;
  uint32_t copies_per_rank = 1;
};

// Returns the mean of Zipf shares over the topics, each with its own random
// order of the experts.
Shares MixOfTopics(const Shape& shape, std::mt19937_64& random) {
  Shares shares(shape.experts, 0);
  std::vector<double> parts;
  for (uint16_t place = 1; place <= shape.experts; ++place) {
    parts.push_back(std::pow(place, -shape.exponent));
  }
  const double all = std::accumulate(parts.begin(), parts.end(), 0.0);
  for (int topic = 0; topic < kTopics; ++topic) {
    std::vector<uint16_t> order(shape.experts);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    for (size_t place = 0; place < order.size(); ++place) {
      shares[order[place]] += parts[place] / all / kTopics;
    }
  }
  return shares;
}

SetLists RoundRobinLists(const Shape& shape) {
  SetLists lists(shape.sets, RankLists(shape.ranks));
  for (RankLists& set : lists) {
    for (uint16_t expert = 0; expert < shape.experts; ++expert) {
      set[expert % shape.ranks].push_back(expert);
    }
  }
  return lists;
}

void Measure(const Shape& shape) {
  constexpr uint64_t kSeed = 1;
  std::mt19937_64 random(kSeed);
  SetLists lists = RoundRobinLists(shape);
  std::vector<double> skews(kSwitches, 0);
  std::chrono::duration<double, std::milli> longest{};
  for (int shift = 0; shift < kShifts; ++shift) {
    DemandTracker demand;
    for (uint32_t set = 0; set < shape.sets; ++set) {
      demand.present.push_back(MixOfTopics(shape, random));
    }
    for (double& skew : skews) {
      const auto began = std::chrono::steady_clock::now();
      SwitchPlan plan =
          PlanSwitch(lists, demand,
                     {.ranks = shape.ranks,
                      .expert_slots_per_rank = shape.expert_slots_per_rank,
                      .spare = shape.spare,
                      .copies_per_rank = shape.copies_per_rank});
      longest = std::max<decltype(longest)>(
          longest, std::chrono::steady_clock::now() - began);
      lists = std::move(plan.lists);
      skew += plan.skew_after / kShifts;
    }
  }
  std::printf("| %u | %u | %u | %u | %.2f | %u |", shape.ranks, shape.sets,
              shape.experts, shape.expert_slots_per_rank, shape.exponent,
              shape.copies_per_rank);
  for (const double skew : skews) {
    std::printf(" %.2f", skew);
  }
  std::printf(" | %.1f |\n", longest.count());
}

}  // namespace

}  // namespace bramleyspan::placement

int main() {
  std::printf(
      "| ranks | sets | experts | places | Zipf | copies a rank | skew after "
      "each switch | longest plan, ms |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const uint32_t copies : {1U, 3U}) {
    bramleyspan::placement::Measure({8, 6, 64, 11, 4, 1.3, copies});
    bramleyspan::placement::Measure({12, 3, 96, 11, 4, 1.3, copies});
    bramleyspan::placement::Measure({24, 16, 96, 11, 4, 1.0, copies});
    bramleyspan::placement::Measure({96, 16, 192, 3, 2, 0.51, copies});
  }
}
