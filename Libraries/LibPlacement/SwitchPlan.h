// One switch of a group's map: which copies it brings, and whether they are
// worth their price.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Copies.h"
#include "LibPlacement/DemandTracker.h"

namespace bramleyspan::placement {

// The experts of each set and rank.
using SetLists = std::vector<RankLists>;

struct SwitchLimits {
  uint32_t ranks = 0;
  uint32_t expert_slots_per_rank = 0;
  // New experts that a rank can take in one set at a time.
  uint32_t spare = 0;
  // New experts that a rank takes in all sets together.
  uint32_t copies_per_rank = 1;
  // How many times as long as usual each rank takes; empty if none is slow.
  std::vector<double> paces = {};
};

struct SwitchPlan {
  SetLists lists;
  uint32_t copies = 0;
  // The load of the most loaded rank over the mean, mean of the sets.
  double skew_before = 1;
  double skew_after = 1;
};

// How many copies a rank may take in one switch where each takes `copy`. They
// queue on its link, and the map waits for the last.
uint32_t CopiesPerRank(Duration copy);

// Plans the copies that one switch brings. Each rank gets as many, so that the
// last ones come together. They are dealt out to the sets, what is left over to
// the most uneven. A slow rank is emptied faster.
SwitchPlan PlanSwitch(const SetLists& lists,
                      const DemandTracker& demand,
                      const SwitchLimits& limits);

// The mean skew of the sets under present demand.
double MeanSkew(const SetLists& lists,
                const DemandTracker& demand,
                const std::vector<double>& paces);

// How much a switch must lower the mean skew where a pass takes `pass`. Copies
// are paid for, and while no pause comes near the longest one, an uneven map
// costs nobody anything.
double MinGainOfSwitch(Duration pass, Duration longest_pause);

}  // namespace bramleyspan::placement
