#include "LibPlacement/Placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <utility>

namespace bramleyspan::placement {

namespace {

// Sample points of the integral over the slowest rank's load.
constexpr int kIntegrationPoints = 96;
// The integral extends this many standard deviations beyond the highest load.
constexpr double kIntegrationReach = 5;

double NormalProbabilityBelow(double deviations) {
  return 0.5 * std::erfc(-deviations / std::sqrt(2.0));
}

std::vector<uint32_t> CountCopies(const Shares& shares, const Shape& shape) {
  std::vector<uint32_t> copies(shares.size(), 1);
  const size_t slots = size_t{shape.ranks} * shape.slots_per_rank;
  for (size_t used = shares.size(); used < slots; ++used) {
    size_t hottest = shares.size();
    for (size_t expert = 0; expert < shares.size(); ++expert) {
      const bool is_hotter =
          hottest == shares.size() ||
          shares[expert] / copies[expert] > shares[hottest] / copies[hottest];
      if (copies[expert] < shape.ranks && is_hotter) {
        hottest = expert;
      }
    }
    if (hottest == shares.size()) {
      break;
    }
    ++copies[hottest];
  }
  return copies;
}

std::vector<Expert> OrderByLoadPerCopy(const Shares& shares,
                                       const std::vector<uint32_t>& copies) {
  std::vector<Expert> order(shares.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](Expert left, Expert right) {
    return shares[left] / copies[left] > shares[right] / copies[right];
  });
  return order;
}

}  // namespace

Result<void> Check(const Placement& placement, const Shape& shape) {
  for (size_t number = 0; number < placement.layers.size(); ++number) {
    const std::string subject = "layer " + std::to_string(number);
    std::vector<uint32_t> used(shape.ranks, 0);
    for (std::vector<Rank> ranks : placement.layers[number].ranks_of) {
      if (ranks.empty()) {
        return Fail(ErrorCode::kMalformedDocument, subject,
                    "an expert has no copy");
      }
      std::sort(ranks.begin(), ranks.end());
      const bool has_twice =
          std::adjacent_find(ranks.begin(), ranks.end()) != ranks.end();
      if (has_twice || ranks.back() >= shape.ranks) {
        return Fail(ErrorCode::kMalformedDocument, subject,
                    "an expert names a rank twice or an unknown rank");
      }
      for (const Rank rank : ranks) {
        ++used[rank];
      }
    }
    if (*std::max_element(used.begin(), used.end()) > shape.slots_per_rank) {
      return Fail(ErrorCode::kLimitExceeded, subject,
                  "a rank holds more copies than it has slots");
    }
  }
  return Succeed();
}

std::vector<ExpertLoad> LoadsBetween(const Placement& current,
                                     const Placement& next,
                                     uint64_t expert_bytes) {
  std::vector<ExpertLoad> loads;
  for (uint32_t layer = 0; layer < next.layers.size(); ++layer) {
    const auto& next_ranks = next.layers[layer].ranks_of;
    for (Expert expert = 0; expert < next_ranks.size(); ++expert) {
      const auto& held = current.layers[layer].ranks_of[expert];
      for (const Rank rank : next_ranks[expert]) {
        if (std::find(held.begin(), held.end(), rank) == held.end()) {
          loads.push_back({layer, expert, rank, expert_bytes});
        }
      }
    }
  }
  return loads;
}

std::vector<double> RankLoads(const LayerPlacement& layer,
                              const Shares& shares,
                              uint32_t ranks) {
  std::vector<double> loads(ranks, 0.0);
  for (Expert expert = 0; expert < shares.size(); ++expert) {
    const auto& holders = layer.ranks_of[expert];
    for (const Rank rank : holders) {
      loads[rank] +=
          shares[expert] * ranks / static_cast<double>(holders.size());
    }
  }
  return loads;
}

double ExpectedSkew(const std::vector<double>& rank_loads,
                    double tokens_per_step) {
  const double tokens_per_rank =
      tokens_per_step / static_cast<double>(rank_loads.size());
  std::vector<double> deviations;
  deviations.reserve(rank_loads.size());
  for (const double load : rank_loads) {
    // An idle rank keeps a small variance to avoid a division by zero.
    deviations.push_back(std::sqrt(std::max(load, 1e-6) / tokens_per_rank));
  }
  const auto highest = std::max_element(rank_loads.begin(), rank_loads.end()) -
                       rank_loads.begin();
  const double reach = kIntegrationReach * deviations[highest];
  const double low = std::max(0.0, rank_loads[highest] - reach);
  const double width = (rank_loads[highest] + reach - low) / kIntegrationPoints;
  // E[max] = low + the integral of P(max > x) from low upwards, by the midpoint
  // rule.
  double expected = low;
  for (int point = 0; point < kIntegrationPoints; ++point) {
    const double x = low + (point + 0.5) * width;
    double all_below = 1;
    for (size_t rank = 0; rank < rank_loads.size(); ++rank) {
      all_below *=
          NormalProbabilityBelow((x - rank_loads[rank]) / deviations[rank]);
    }
    expected += (1 - all_below) * width;
  }
  return expected;
}

LayerPlacement PackLayer(const Shares& shares, const Shape& shape) {
  const std::vector<uint32_t> copies = CountCopies(shares, shape);
  LayerPlacement layer;
  layer.ranks_of.resize(shares.size());
  std::vector<double> loads(shape.ranks, 0.0);
  std::vector<uint32_t> used(shape.ranks, 0);
  for (const Expert expert : OrderByLoadPerCopy(shares, copies)) {
    auto& holders = layer.ranks_of[expert];
    for (uint32_t copy = 0; copy < copies[expert]; ++copy) {
      Rank best = shape.ranks;
      for (Rank rank = 0; rank < shape.ranks; ++rank) {
        const bool is_held =
            std::find(holders.begin(), holders.end(), rank) != holders.end();
        if (used[rank] == shape.slots_per_rank || is_held) {
          continue;
        }
        if (best == shape.ranks || loads[rank] < loads[best]) {
          best = rank;
        }
      }
      if (best == shape.ranks) {
        // Only ranks that already hold the expert have a free slot: it gets
        // fewer copies.
        break;
      }
      holders.push_back(best);
      ++used[best];
      loads[best] += shares[expert] / copies[expert];
    }
  }
  return layer;
}

}  // namespace bramleyspan::placement
