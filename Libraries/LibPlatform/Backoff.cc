#include "LibPlatform/Backoff.h"

#include <algorithm>

namespace bramleyspan::platform {

namespace {

constexpr Duration kInitialDelay = std::chrono::milliseconds(250);
constexpr uint32_t kMaxDoublings = 4;

}  // namespace

Duration BackoffDelay(uint32_t attempt, uint64_t random_bits) {
  const uint32_t doublings = std::min(std::max(attempt, 1U) - 1, kMaxDoublings);
  const Duration max_delay = kInitialDelay * (1 << doublings);
  const Duration half = max_delay / 2;
  return half + Duration(random_bits % static_cast<uint64_t>(half.count()));
}

}  // namespace bramleyspan::platform
