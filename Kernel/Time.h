// The time types of every signature.
#pragma once

#include <chrono>

namespace bramleyspan {

// Durations between events are measured in microseconds.
using Duration = std::chrono::microseconds;

// A reading of the monotonic clock. Readings of two processes are never
// compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

}  // namespace bramleyspan
