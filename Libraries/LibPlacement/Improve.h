// Improves the placement of one layer by a few changes, each of which relieves
// the slowest rank.
#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// A copy of an expert, named by expert and rank.
using Copy = std::pair<Expert, Rank>;

// One change of a placement: the copies that it loads and those that it drops.
struct Change {
  std::vector<Copy> loads;
  std::vector<Copy> drops;
};

// Limits of one search.
struct SearchLimits {
  size_t max_loads = 16;
  // Copies that a rank can load beside its old weights before the map switches.
  uint32_t staging_slots = 2;
  // Copies that were loaded or dropped recently. A change that undoes one costs
  // `undo_price` loads for it.
  std::set<Copy> recent;
  double undo_price = 4;
};

// Returns the price of a change in loads, with undone recent copies at
// `undo_price`.
double PriceInLoads(const Change& change, const SearchLimits& limits);

// Applies a change to a layer. A change from ImproveLayer keeps at least one
// copy of each expert and no more copies on a rank than it has slots.
void Apply(LayerPlacement& layer, const Change& change);

// Returns the changes that even out the rank loads best for their price, in the
// order in which they must be applied. Any prefix of them is a valid plan.
std::vector<Change> ImproveLayer(LayerPlacement layer,
                                 const Shares& shares,
                                 const Shape& shape,
                                 const SearchLimits& limits);

}  // namespace bramleyspan::placement
