// Plans one switch of a group's map: the copies that it adds, and the gain that
// justifies it.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Copies.h"
#include "LibPlacement/DemandTracker.h"

namespace bramleyspan::placement {

// The experts of each set, by set and rank.
using SetLists = std::vector<RankLists>;

struct SwitchLimits {
  uint32_t ranks = 0;
  uint32_t expert_slots_per_rank = 0;
  // Copies that a rank can receive in one set at a time.
  uint32_t spare = 0;
  // Copies that a rank receives in all sets together in one switch.
  uint32_t copies_per_rank = 1;
  // The factor by which each rank's work takes longer than usual, by rank;
  // empty if no rank is slow.
  std::vector<double> paces = {};
};

struct SwitchPlan {
  SetLists lists;
  uint32_t copies = 0;
  // The skew, mean of the sets, before and after the switch.
  double skew_before = 1;
  double skew_after = 1;
};

// Returns the number of copies that a rank may receive in one switch where each
// takes `copy`. They queue on the rank's link, and the map cannot switch before
// the last one has arrived.
uint32_t CopiesPerRank(Duration copy);

// Returns the plan of one switch. Each rank receives the same number of copies,
// so that the last ones arrive together. The copies are divided evenly among
// the sets; the remainder goes to the sets with the highest skew. A slow rank
// loses its experts faster than this: the limit per rank then does not apply.
SwitchPlan PlanSwitch(const SetLists& lists,
                      const DemandTracker& demand,
                      const SwitchLimits& limits);

// Returns the skew under present demand, mean of the sets.
double MeanSkew(const SetLists& lists,
                const DemandTracker& demand,
                const std::vector<double>& paces);

// Returns how much a switch must lower the mean skew where a pass takes `pass`.
// Copies have a cost, and an uneven map does no harm to callers while passes
// stay well below the longest pause.
double MinGainOfSwitch(Duration pass, Duration longest_pause);

}  // namespace bramleyspan::placement
