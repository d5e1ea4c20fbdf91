// Durations collected by a measurement.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::measurements {

struct Samples {
  std::vector<Duration> values;

  // Returns the quantile `share` in milliseconds; 0 if there are no values.
  double PercentileMilliseconds(double share) {
    if (this->values.empty()) {
      return 0;
    }
    std::ranges::sort(this->values);
    const auto index = static_cast<size_t>(
        share * static_cast<double>(this->values.size() - 1));
    return std::chrono::duration<double, std::milli>(this->values[index])
        .count();
  }
};

}  // namespace bramleyspan::measurements
