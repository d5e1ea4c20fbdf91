// Tracks how demand is distributed over experts. Samples that agree are
// averaged. A sample that differs is a demand shift: the former average is
// remembered as a pattern and the average restarts from the sample.
#pragma once

#include <cstdint>
#include <vector>

#include "Kernel/Time.h"
#include "LibPlacement/Placement.h"

namespace bramleyspan::placement {

struct DemandTrackerSettings {
  // A sample whose distance from the average exceeds this is a demand shift
  // (total variation distance, mean of the sets).
  double shift_threshold = 0.2;
  // The weight of a new sample in the average.
  double sample_weight = 0.2;
  // Remembered patterns closer than this replace one another.
  double same_threshold = 0.15;
  size_t max_patterns = 16;
  // Choices that the first set needs before a sample is complete; fewer are too
  // noisy.
  double min_choices = 300;
};

// The share of each expert, by set.
using Pattern = std::vector<Shares>;

struct DemandTracker {
  DemandTrackerSettings settings;
  // The average of recent samples; empty before the first one.
  Pattern present;
  std::vector<Pattern> remembered;
  uint64_t shifts = 0;
  // Choices that are not enough for a sample yet, by set and expert.
  std::vector<std::vector<double>> pending;
};

// Adds expert choices, by set and expert. Returns true if they complete the
// first sample or show a demand shift.
bool ObserveChoices(DemandTracker& tracker,
                    const std::vector<std::vector<double>>& choices);

// Returns for each expert of a set its largest share in any remembered pattern.
Shares RememberedShares(const DemandTracker& tracker, size_t set);

// Returns the total variation distance of two patterns, mean of their sets: 0
// if they are equal, 1 if they have nothing in common or differ in shape.
double Distance(const Pattern& left, const Pattern& right);

}  // namespace bramleyspan::placement
