// Placement of expert copies on ranks, and how evenly it spreads a load.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::placement {

// The index of an expert in its layer, and of a rank in its group.
using Expert = uint32_t;
using Rank = uint32_t;

// The capacity of a group for expert copies, the same in every layer.
struct Shape {
  uint32_t ranks = 0;
  uint32_t slots_per_rank = 0;
};

// The ranks that hold a copy of each expert, by expert. The tokens of an expert
// are split evenly over its copies.
struct LayerPlacement {
  std::vector<std::vector<Rank>> ranks_of;

  bool operator==(const LayerPlacement&) const = default;
};

struct Placement {
  std::vector<LayerPlacement> layers;

  bool operator==(const Placement&) const = default;
};

// A copy that a rank must fetch from the weight store.
struct ExpertLoad {
  uint32_t layer = 0;
  Expert expert = 0;
  Rank rank = 0;
  uint64_t bytes = 0;

  bool operator==(const ExpertLoad&) const = default;
};

// The fraction of a layer's tokens routed to each expert; the sum is 1.
using Shares = std::vector<double>;

// Checks that every expert has a copy, that no rank holds two copies of an
// expert, and that no rank holds more copies than it has slots. Fails with
// kMalformedDocument or kLimitExceeded.
Result<void> Check(const Placement& placement, const Shape& shape);

// Returns the copies of `next` that `current` lacks, as loads of `expert_bytes`
// bytes each.
std::vector<ExpertLoad> LoadsBetween(const Placement& current,
                                     const Placement& next,
                                     uint64_t expert_bytes);

// Returns the load of each rank relative to the mean load.
std::vector<double> RankLoads(const LayerPlacement& layer,
                              const Shares& shares,
                              uint32_t ranks);

// Returns the expected load of the slowest rank relative to the mean when a
// step routes `tokens_per_step` tokens at random with the expected
// `rank_loads`. Even loads give the noise floor, which no placement can go
// below.
double ExpectedSkew(const std::vector<double>& rank_loads,
                    double tokens_per_step);

// Returns a new placement of a layer: the experts with the highest load per
// copy get the spare slots, then the heaviest copies are placed first, each on
// the least loaded rank. The shape must hold at least one copy of each expert.
LayerPlacement PackLayer(const Shares& shares, const Shape& shape);

}  // namespace bramleyspan::placement
