// How popular each expert is: tokens routed to it, older ones counting less.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// The decayed token counts of one layer.
struct Popularity {
  std::vector<double> tokens;
  double total = 0;
  // The sum of squared weights: with `total` it tells how many tokens the
  // estimate is worth.
  double squared_total = 0;
  TimePoint updated;
};

// Adds a step's routed tokens by expert. A count loses half of its weight in
// each `half_life`. An observation older than the last one is dropped: reports
// come late and out of order.
void ObserveStep(Popularity& popularity,
                 const std::vector<uint32_t>& routed_tokens,
                 Duration half_life,
                 TimePoint now);

// The estimated shares; even ones as long as nothing was observed.
Shares EstimateShares(const Popularity& popularity);

// How many tokens drawn afresh would give as sure an estimate.
double EffectiveTokens(const Popularity& popularity);

}  // namespace bramleyspan::placement
