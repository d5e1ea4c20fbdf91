// Evens out a set's rank loads by a few more copies of its hottest experts,
// step by step where it helps the most loaded ranks most. While demand jumps
// every few seconds, few copies that are there at once gain more than the best
// map that comes late.
#pragma once

#include <cstdint>
#include <vector>

#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

// The experts that each rank holds in one set.
using RankLists = std::vector<std::vector<uint16_t>>;

struct CopyLimits {
  uint32_t expert_slots_per_rank = 0;
  // New experts that a rank can take in one set at a time.
  uint32_t spare = 0;
  // Copies in this set, at most.
  uint32_t max_copies = 3;
  // New experts that a rank can take in all sets together; copies share its
  // link, and the map waits for the last one. 0: any number.
  uint32_t max_new_on_rank = 0;
  // Copies must lower the skew by this much each; some do so only together.
  double min_gain = 0.03;
  // How many times as long as usual each rank takes; empty if none is slow. A
  // slow rank is relieved of experts, since all others wait for it.
  std::vector<double> paces = {};
};

struct CopyPlan {
  RankLists lists;
  uint32_t copies = 0;
  // The load of the most loaded rank over the mean, before and after.
  double skew_before = 1;
  double skew_after = 1;
};

// The time of the slowest rank over the mean of the loads.
double SkewOf(const RankLists& lists,
              const Shares& shares,
              const std::vector<double>& paces = {});

// Adds copies to the least loaded ranks. A full rank gives up the copy that is
// least in demand, now and by what is remembered; an expert keeps at least one
// copy. `new_on_rank` counts copies planned for each rank in other sets, which
// share its link.
CopyPlan PlanCopies(const RankLists& lists,
                    const Shares& shares,
                    const Shares& remembered,
                    const CopyLimits& limits,
                    std::vector<uint32_t>& new_on_rank);

}  // namespace bramleyspan::placement
