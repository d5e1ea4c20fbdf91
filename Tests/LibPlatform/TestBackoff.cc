#include <doctest/doctest.h>

#include "LibPlatform/Backoff.h"

namespace bramleyspan::platform {

// Failure: the key-value service recovers from an outage, all processes retry
// at the same moments, and their calls overload it again.
TEST_CASE("retries are spread and bounded") {
  CHECK(BackoffDelay(1, 0) == std::chrono::milliseconds(125));
  CHECK(BackoffDelay(1, 77'777) != BackoffDelay(1, 0));
  CHECK(BackoffDelay(1, 124'999) < std::chrono::milliseconds(250));
  CHECK(BackoffDelay(1'000'000, 0) == std::chrono::seconds(2));
  CHECK(BackoffDelay(1'000'000, 1'999'999) < std::chrono::seconds(4));
}

}  // namespace bramleyspan::platform
