// How long to wait before a call to the platform is tried again.
#pragma once

#include <cstdint>

#include "Kernel/Time.h"

namespace bramleyspan::platform {

// The delay before retry number `attempt` (from 1): it doubles from a quarter
// of a second to at most four seconds, and `random_bits` place it in the upper
// half of that. Without the jitter all entries would return at one moment to a
// service that has just come back.
Duration BackoffDelay(uint32_t attempt, uint64_t random_bits);

}  // namespace bramleyspan::platform
