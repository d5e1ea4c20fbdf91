// Expert popularity: the tokens routed to each expert, decayed over time.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// Decayed token counts of one layer.
struct Popularity {
  std::vector<double> tokens;
  double total = 0;
  // The sum of squared token weights; with `total` it gives the effective
  // sample size.
  double squared_total = 0;
  TimePoint updated;
};

// Adds the routed tokens of one step, by expert. Counts halve every
// `half_life`. An observation older than the last one is dropped, since reports
// arrive late and out of order.
void ObserveStep(Popularity& popularity,
                 const std::vector<uint32_t>& routed_tokens,
                 Duration half_life,
                 TimePoint now);

// Returns the estimated shares; equal ones until something is observed.
Shares EstimateShares(const Popularity& popularity);

// Returns the effective sample size: the number of equally weighted tokens that
// would give an estimate of the same variance.
double EffectiveTokens(const Popularity& popularity);

}  // namespace bramleyspan::placement
