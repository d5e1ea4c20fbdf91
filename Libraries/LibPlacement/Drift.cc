#include "LibPlacement/Drift.h"

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

void Remember(Drift& drift) {
  for (Pattern& pattern : drift.remembered) {
    if (Distance(pattern, drift.present) < drift.settings.same) {
      pattern = drift.present;
      return;
    }
  }
  if (drift.remembered.size() >= drift.settings.most_patterns) {
    drift.remembered.erase(drift.remembered.begin());
  }
  drift.remembered.push_back(drift.present);
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

bool ObserveChoices(Drift& drift,
                    const std::vector<std::vector<double>>& choices) {
  if (drift.pending.size() != choices.size()) {
    drift.pending = choices;
  } else {
    for (size_t set = 0; set < choices.size(); ++set) {
      for (size_t i = 0; i < choices[set].size(); ++i) {
        drift.pending[set][i] += choices[set][i];
      }
    }
  }
  if (drift.pending.empty() ||
      std::accumulate(drift.pending[0].begin(), drift.pending[0].end(), 0.0) <
          drift.settings.least_choices) {
    return false;
  }
  Pattern sample;
  for (const auto& set : drift.pending) {
    sample.push_back(ToShares(set));
  }
  drift.pending.clear();
  if (drift.present.empty()) {
    drift.present = std::move(sample);
    return true;
  }
  if (Distance(drift.present, sample) > drift.settings.jump) {
    Remember(drift);
    drift.present = std::move(sample);
    ++drift.jumps;
    return true;
  }
  for (size_t set = 0; set < sample.size(); ++set) {
    for (size_t i = 0; i < sample[set].size(); ++i) {
      double& share = drift.present[set][i];
      share += drift.settings.gain * (sample[set][i] - share);
    }
  }
  return false;
}

Shares RememberedShares(const Drift& drift, size_t set) {
  Shares shares;
  for (const Pattern& pattern : drift.remembered) {
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
