#include "LibAdmission/StreamCosts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::admission {

namespace {

using Seconds = std::chrono::duration<double>;

// The number of stream lifetimes over which costs are retained. A demand shift
// matters if a stream is likely to live through one.
constexpr double kLifetimesRetained = 3;
constexpr Duration kMinRetention = std::chrono::seconds(1);
constexpr Duration kMaxRetention = std::chrono::seconds(8);
constexpr Duration kAveragingWindow = std::chrono::seconds(2);
constexpr double kMinReservationsPerSecond = 1e-3;

// Returns how long costs are retained. By Little's law a stream lasts as long
// as it takes to replace all running streams.
Duration RetentionOf(const StreamCosts& costs) {
  const Seconds lifetime(
      costs.mean_running /
      std::max(costs.reservations_per_second, kMinReservationsPerSecond));
  const Seconds retention =
      std::clamp<Seconds>(kLifetimesRetained * lifetime, Seconds(kMinRetention),
                          Seconds(kMaxRetention));
  return std::chrono::duration_cast<Duration>(retention);
}

void UpdateAverages(StreamCosts& costs, const CostSample& sample) {
  const double elapsed = Seconds(sample.elapsed).count();
  if (elapsed <= 0) {
    return;
  }
  const double weight =
      1 - std::exp(-elapsed / Seconds(kAveragingWindow).count());
  costs.mean_running += weight * (sample.running - costs.mean_running);
  const double reserved = std::exchange(costs.new_reservations, 0U);
  costs.reservations_per_second +=
      weight * (reserved / elapsed - costs.reservations_per_second);
}

}  // namespace

void RecordCost(StreamCosts& costs, const CostSample& sample, TimePoint now) {
  UpdateAverages(costs, sample);
  while (!costs.peaks.empty() && now - costs.peaks.front().at > kMaxRetention) {
    costs.peaks.pop_front();
  }
  if (sample.excess <= Duration(0) || costs.mean_running < 1) {
    return;
  }
  const double cost = Seconds(sample.excess).count() /
                      std::max(costs.mean_running, sample.min_running);
  while (!costs.peaks.empty() && costs.peaks.back().seconds <= cost) {
    costs.peaks.pop_back();
  }
  costs.peaks.push_back({cost, now});
}

double PeakCostOf(const StreamCosts& costs, TimePoint now) {
  const Duration retention = RetentionOf(costs);
  const auto found = std::find_if(
      costs.peaks.begin(), costs.peaks.end(),
      [&](const ObservedCost& cost) { return now - cost.at <= retention; });
  return found == costs.peaks.end() ? 0 : found->seconds;
}

}  // namespace bramleyspan::admission
