#include "LibPlacement/DemandTracker.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bramleyspan::placement {

namespace {

Shares ToShares(const std::vector<double>& choices) {
  const double total = std::accumulate(choices.begin(), choices.end(), 0.0);
  Shares shares(choices.size(), 0.0);
  for (size_t i = 0; i < choices.size() && total > 0; ++i) {
    shares[i] = choices[i] / total;
  }
  return shares;
}

void RecordPattern(DemandTracker& tracker) {
  for (Pattern& pattern : tracker.remembered) {
    if (Distance(pattern, tracker.present) < tracker.settings.same_threshold) {
      pattern = tracker.present;
      return;
    }
  }
  if (tracker.remembered.size() >= tracker.settings.max_patterns) {
    tracker.remembered.erase(tracker.remembered.begin());
  }
  tracker.remembered.push_back(tracker.present);
}

}  // namespace

double Distance(const Pattern& left, const Pattern& right) {
  if (left.size() != right.size() || left.empty()) {
    return 1;
  }
  double sum = 0;
  for (size_t set = 0; set < left.size(); ++set) {
    for (size_t i = 0; i < left[set].size(); ++i) {
      sum += std::abs(left[set][i] - right[set][i]) / 2;
    }
  }
  return sum / static_cast<double>(left.size());
}

bool ObserveChoices(DemandTracker& tracker,
                    const std::vector<std::vector<double>>& choices) {
  if (tracker.pending.size() != choices.size()) {
    tracker.pending = choices;
  } else {
    for (size_t set = 0; set < choices.size(); ++set) {
      for (size_t i = 0; i < choices[set].size(); ++i) {
        tracker.pending[set][i] += choices[set][i];
      }
    }
  }
  if (tracker.pending.empty() ||
      std::accumulate(tracker.pending[0].begin(), tracker.pending[0].end(),
                      0.0) < tracker.settings.min_choices) {
    return false;
  }
  Pattern sample;
  for (const auto& set : tracker.pending) {
    sample.push_back(ToShares(set));
  }
  tracker.pending.clear();
  if (tracker.present.empty()) {
    tracker.present = std::move(sample);
    return true;
  }
  if (Distance(tracker.present, sample) > tracker.settings.shift_threshold) {
    RecordPattern(tracker);
    tracker.present = std::move(sample);
    ++tracker.shifts;
    return true;
  }
  for (size_t set = 0; set < sample.size(); ++set) {
    for (size_t i = 0; i < sample[set].size(); ++i) {
      double& share = tracker.present[set][i];
      share += tracker.settings.sample_weight * (sample[set][i] - share);
    }
  }
  return false;
}

Shares RememberedShares(const DemandTracker& tracker, size_t set) {
  Shares shares;
  for (const Pattern& pattern : tracker.remembered) {
    if (set >= pattern.size()) {
      continue;
    }
    shares.resize(std::max(shares.size(), pattern[set].size()), 0.0);
    for (size_t i = 0; i < pattern[set].size(); ++i) {
      shares[i] = std::max(shares[i], pattern[set][i]);
    }
  }
  return shares;
}

}  // namespace bramleyspan::placement
