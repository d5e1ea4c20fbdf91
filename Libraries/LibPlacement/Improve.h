// Improves a layer's placement by few changes, each at the slowest rank.
#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// A copy by its expert and rank.
using Copy = std::pair<Expert, Rank>;

// One change: copies that come and copies that go with them.
struct Change {
  std::vector<Copy> loads;
  std::vector<Copy> drops;
};

// What a search may do.
struct SearchLimits {
  size_t max_loads = 16;
  // Room beside the old weights: loads on one rank before the map switches.
  uint32_t staging_slots = 2;
  // Copies that came or went lately; a change that undoes one is rated as if
  // it loaded `undo_price` times as much.
  std::set<Copy> recent;
  double undo_price = 4;
};

// What a change counts as, in loads, with recent copies at their price.
double PriceInLoads(const Change& change, const SearchLimits& limits);

// Makes a change. A change from ImproveLayer keeps at least one copy of each
// expert and no more copies on a rank than slots.
void Apply(LayerPlacement& layer, const Change& change);

// The changes that even out the rank loads best for their price, in the order
// in which they must be made; any prefix of them is a valid plan.
std::vector<Change> ImproveLayer(LayerPlacement layer,
                                 const Shares& shares,
                                 const Shape& shape,
                                 const SearchLimits& limits);

}  // namespace bramleyspan::placement
