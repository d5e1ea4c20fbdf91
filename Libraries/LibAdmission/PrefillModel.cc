#include "LibAdmission/PrefillModel.h"

#include <algorithm>

namespace bramleyspan::admission {

namespace {

// The weight of a new sample in the decayed sums.
constexpr double kSampleWeight = 1.0 / 32;

// The least standard deviation of prompt lengths, relative to their mean, from
// which a cost per token is estimated. With less spread, noise in the times
// would pass for a cost per token.
constexpr double kMinSpread = 0.1;

void AddDecayed(double& sum, double value) {
  sum = sum * (1 - kSampleWeight) + value;
}

}  // namespace

void AddSample(PrefillModel& model, uint32_t tokens, Duration time) {
  const auto length = static_cast<double>(tokens);
  const auto microseconds = static_cast<double>(time.count());
  AddDecayed(model.weight, 1);
  AddDecayed(model.tokens, length);
  AddDecayed(model.time, microseconds);
  AddDecayed(model.tokens_squared, length * length);
  AddDecayed(model.tokens_time, length * microseconds);
}

Duration Predict(const PrefillModel& model, uint32_t tokens) {
  if (model.weight <= 0) {
    return Duration::zero();
  }
  const double mean_length = model.tokens / model.weight;
  const double mean_time = model.time / model.weight;
  const double variance =
      model.tokens_squared / model.weight - mean_length * mean_length;
  const double covariance =
      model.tokens_time / model.weight - mean_length * mean_time;
  const double min_variance =
      kMinSpread * kMinSpread * mean_length * mean_length;
  const double slope =
      variance > min_variance ? std::max(covariance / variance, 0.0) : 0.0;
  const double expected =
      mean_time + slope * (static_cast<double>(tokens) - mean_length);
  return Duration(static_cast<int64_t>(std::max(expected, 0.0)));
}

}  // namespace bramleyspan::admission
