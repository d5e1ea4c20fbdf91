// Evens out the rank loads of one expert set by adding copies of its most
// demanded experts, one at a time, each where it relieves the most loaded ranks
// most. Demand shifts every few seconds, so a few copies in place at once are
// worth more than an optimal map that arrives late.
#pragma once

#include <cstdint>
#include <vector>

#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// The experts that each rank holds in one set, by rank.
using RankLists = std::vector<std::vector<uint16_t>>;

struct CopyLimits {
  uint32_t expert_slots_per_rank = 0;
  // Copies that a rank can receive in one set at a time.
  uint32_t spare = 0;
  // Copies that a plan adds to this set at most.
  uint32_t max_copies = 3;
  // Copies that a rank can receive in all sets together; 0 for no limit. The
  // copies share the rank's link, and the map cannot switch before the last one
  // has arrived.
  uint32_t max_new_on_rank = 0;
  // The skew that each copy must remove on average. A copy may remove less if
  // the ones after it make up for it, since some copies lower the skew only
  // together.
  double min_gain = 0.03;
  // The factor by which each rank's work takes longer than usual, by rank;
  // empty if no rank is slow. Experts move away from a slow rank because all
  // other ranks wait for it.
  std::vector<double> paces = {};
};

struct CopyPlan {
  RankLists lists;
  uint32_t copies = 0;
  // The time of the slowest rank over the mean load, before and after the plan.
  double skew_before = 1;
  double skew_after = 1;
};

// Returns the time of the slowest rank over the mean load; 1 if there is no
// load.
double SkewOf(const RankLists& lists,
              const Shares& shares,
              const std::vector<double>& paces = {});

// Plans copies on the least loaded ranks. A full rank drops its copy with the
// least demand, present or remembered; every expert keeps at least one copy.
// `new_on_rank` counts the copies planned for each rank in all sets, which
// share its link; the plan adds its own.
CopyPlan PlanCopies(const RankLists& lists,
                    const Shares& shares,
                    const Shares& remembered,
                    const CopyLimits& limits,
                    std::vector<uint32_t>& new_on_rank);

}  // namespace bramleyspan::placement
