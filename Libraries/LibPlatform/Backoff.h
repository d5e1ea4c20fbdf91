// Backoff between retries of a call to the platform.
#pragma once

#include <cstdint>

#include "Kernel/Time.h"

namespace bramleyspan::platform {

// Returns the delay before retry number `attempt` (from 1): it doubles from 250
// milliseconds to at most 4 seconds, and `random_bits` place it in the upper
// half of that. Without this jitter all processes would call a service that has
// just recovered at the same moments.
Duration BackoffDelay(uint32_t attempt, uint64_t random_bits);

}  // namespace bramleyspan::platform
