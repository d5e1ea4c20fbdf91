// What is in demand now: a mixture that jumps. Counts are averaged as long as
// they agree; when they no longer do, what was seen before is remembered as a
// pattern and the average begins anew.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

struct DemandTrackerSettings {
  // A sample that differs by more than this part of its weight (total
  // variation, mean of the sets) begins a new pattern.
  double shift_threshold = 0.2;
  // The weight of a new sample that agrees.
  double sample_weight = 0.2;
  // Patterns that differ by less are one.
  double same_threshold = 0.15;
  size_t max_patterns = 16;
  // A sample of fewer choices a set says too little.
  double min_choices = 300;
};

// Shares by set.
using Pattern = std::vector<Shares>;

struct DemandTracker {
  DemandTrackerSettings settings;
  Pattern present;
  std::vector<Pattern> remembered;
  uint64_t shifts = 0;
  // Choices that do not make up a sample yet, by set and expert.
  std::vector<std::vector<double>> pending;
};

// Takes choices of experts, set by set. Returns whether what is in demand has
// jumped.
bool ObserveChoices(DemandTracker& tracker,
                    const std::vector<std::vector<double>>& choices);

// For each expert of a set the largest share in any remembered pattern.
Shares RememberedShares(const DemandTracker& tracker, size_t set);

// The part of the weight by which two patterns differ, mean of their sets.
double Distance(const Pattern& left, const Pattern& right);

}  // namespace bramleyspan::placement
