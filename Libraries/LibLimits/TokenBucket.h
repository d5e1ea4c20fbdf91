// A token bucket that is given the current time, so that tests can use a
// virtual clock.
#pragma once

#include <algorithm>

#include "Kernel/Time.h"

namespace bramleyspan::limits {

// Holds up to `capacity` tokens and gains `rate` tokens a second.
struct TokenBucket {
  double rate = 0;
  double capacity = 0;
  double level = 0;
  TimePoint filled_at;
};

inline void Fill(TokenBucket& bucket, TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.level = std::min(bucket.capacity,
                          bucket.level + std::max(0.0, elapsed) * bucket.rate);
  bucket.filled_at = now;
}

// Takes up to `wanted` tokens; returns how many it took.
inline double TakeUpTo(TokenBucket& bucket, double wanted, TimePoint now) {
  Fill(bucket, now);
  const double taken = std::clamp(wanted, 0.0, std::max(bucket.level, 0.0));
  bucket.level -= taken;
  return taken;
}

// Returns the time until the bucket holds `wanted` tokens, at most 60 s. Call
// Fill first.
inline Duration TimeUntil(const TokenBucket& bucket, double wanted) {
  constexpr double kLongest = 60;
  const double missing = std::max(0.0, wanted - bucket.level);
  const double wait = bucket.rate > 0 ? missing / bucket.rate : kLongest;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wait, kLongest)));
}

}  // namespace bramleyspan::limits
