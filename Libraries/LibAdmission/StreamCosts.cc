#include "LibAdmission/StreamCosts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Jumps matter if a stream is likely to live to see one.
constexpr double kLivesRemembered = 3;
constexpr Duration kLeastRemembered = std::chrono::seconds(1);
constexpr Duration kMostRemembered = std::chrono::seconds(8);
constexpr Duration kAveragingWindow = std::chrono::seconds(2);
constexpr double kLeastTakenPerSecond = 1e-3;

// By Little's law a stream lasts as long as it takes to fill the running ones
// anew.
Duration RememberedFor(const StreamCosts& costs) {
  const Seconds life(costs.usual_running /
                     std::max(costs.usual_taken, kLeastTakenPerSecond));
  const Seconds remembered =
      std::clamp<Seconds>(kLivesRemembered * life, Seconds(kLeastRemembered),
                          Seconds(kMostRemembered));
  return std::chrono::duration_cast<Duration>(remembered);
}

void Average(StreamCosts& costs, const CostSample& sample) {
  const double elapsed = Seconds(sample.elapsed).count();
  if (elapsed <= 0) {
    return;
  }
  const double share =
      1 - std::exp(-elapsed / Seconds(kAveragingWindow).count());
  costs.usual_running += share * (sample.running - costs.usual_running);
  const double taken = std::exchange(costs.newly_taken, 0U);
  costs.usual_taken += share * (taken / elapsed - costs.usual_taken);
}

}  // namespace

void NoteCost(StreamCosts& costs, const CostSample& sample, TimePoint now) {
  Average(costs, sample);
  while (!costs.dearest.empty() &&
         now - costs.dearest.front().at > kMostRemembered) {
    costs.dearest.pop_front();
  }
  if (sample.grown <= Duration(0) || costs.usual_running < 1) {
    return;
  }
  const double cost = Seconds(sample.grown).count() /
                      std::max(costs.usual_running, sample.least_running);
  while (!costs.dearest.empty() && costs.dearest.back().seconds <= cost) {
    costs.dearest.pop_back();
  }
  costs.dearest.push_back({cost, now});
}

double DearestCostOf(const StreamCosts& costs, TimePoint now) {
  const Duration remembered = RememberedFor(costs);
  const auto found = std::find_if(
      costs.dearest.begin(), costs.dearest.end(),
      [&](const SeenCost& cost) { return now - cost.at <= remembered; });
  return found == costs.dearest.end() ? 0 : found->seconds;
}

}  // namespace bramleyspan::admission
