// The time types that all interfaces use.
#pragma once

#include <chrono>

namespace bramleyspan {

// Microseconds.
using Duration = std::chrono::microseconds;

// A reading of the monotonic clock of EventLoop::Now. Readings from different
// processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

}  // namespace bramleyspan
