#include <doctest/doctest.h>

#include "LibPlatform/Backoff.h"

namespace bramleyspan::platform {

// The key-value service comes back from an outage. If all entries return to it
// at the same moments, their calls push it down again.
TEST_CASE("retries are spread and bounded") {
  CHECK(BackoffDelay(1, 0) == std::chrono::milliseconds(125));
  CHECK(BackoffDelay(1, 77'777) != BackoffDelay(1, 0));
  CHECK(BackoffDelay(1, 124'999) < std::chrono::milliseconds(250));
  CHECK(BackoffDelay(1'000'000, 0) == std::chrono::seconds(2));
  CHECK(BackoffDelay(1'000'000, 1'999'999) < std::chrono::seconds(4));
}

}  // namespace bramleyspan::platform
