// Which ranks hold a copy of which expert, and how evenly that spreads a load.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::placement {

// An expert's number within its layer, and a rank's within its group.
using Expert = uint32_t;
using Rank = uint32_t;

// The room that a group has for experts, the same in every layer.
struct Shape {
  uint32_t ranks = 0;
  uint32_t slots_per_rank = 0;
};

// The ranks that hold a copy, by expert. An expert's tokens are split evenly
// over its copies.
struct LayerPlacement {
  std::vector<std::vector<Rank>> ranks_of;

  bool operator==(const LayerPlacement&) const = default;
};

struct Placement {
  std::vector<LayerPlacement> layers;

  bool operator==(const Placement&) const = default;
};

// A copy that a rank has to fetch from the weight store.
struct ExpertLoad {
  uint32_t layer = 0;
  Expert expert = 0;
  Rank rank = 0;
  uint64_t bytes = 0;

  bool operator==(const ExpertLoad&) const = default;
};

// Each expert's part of a layer's tokens; the parts sum to 1.
using Shares = std::vector<double>;

// Checks that every expert has a copy, none two on one rank, and that no rank
// holds more than its slots. Fails with kMalformedDocument or kLimitExceeded.
Result<void> Check(const Placement& placement, const Shape& shape);

// The copies of `next` that `current` lacks, as loads of `expert_bytes` each.
std::vector<ExpertLoad> LoadsBetween(const Placement& current,
                                     const Placement& next,
                                     uint64_t expert_bytes);

// The load of each rank over the mean load.
std::vector<double> RankLoads(const LayerPlacement& layer,
                              const Shares& shares,
                              uint32_t ranks);

// The expected load of the slowest rank over the mean when a step routes
// `tokens_per_step` tokens at random by the expected `rank_loads`. Even loads
// give the noise floor, which no placement can beat.
double ExpectedSkew(const std::vector<double>& rank_loads,
                    double tokens_per_step);

// Packs a layer from nothing: the hottest experts get the spare slots, then
// the heaviest copies go first to the rank with the least load. The shape must
// hold at least one copy of each expert.
LayerPlacement PackLayer(const Shares& shares, const Shape& shape);

}  // namespace bramleyspan::placement
