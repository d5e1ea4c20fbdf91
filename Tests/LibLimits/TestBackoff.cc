#include <doctest/doctest.h>

#include "LibLimits/Backoff.h"

namespace bramleyspan::limits {

TEST_CASE("Of overlapping backoffs the one that ends last counts") {
  const TimePoint start{std::chrono::seconds(100)};
  Backoff backoff;
  CHECK(RecordBackoff(backoff, std::chrono::seconds(3), start));
  CHECK_FALSE(RecordBackoff(backoff, std::chrono::seconds(1),
                            start + std::chrono::seconds(1)));
  CHECK(backoff.until == start + std::chrono::seconds(3));
  CHECK_FALSE(RecordBackoff(backoff, std::chrono::seconds(3),
                            start + std::chrono::seconds(1)));
  CHECK(backoff.until == start + std::chrono::seconds(4));
  CHECK(backoff.since == start);
  CHECK(RecordBackoff(backoff, std::chrono::seconds(1),
                      start + std::chrono::seconds(5)));
}

// Failure: all requests that could not be sent during a backoff are sent at its
// end, and the target rejects them again.
TEST_CASE(
    "After a backoff requests are sent one at a time until one is taken") {
  const TimePoint start{std::chrono::seconds(100)};
  Backoff backoff;
  RecordBackoff(backoff, std::chrono::seconds(3), start);
  const TimePoint end = start + std::chrono::seconds(3);
  CHECK(BackoffHeldUntil(backoff) == end);
  RecordSentAfterBackoff(backoff, end);
  CHECK(BackoffHeldUntil(backoff) > end);
  // An answer to a request that was sent before the backoff proves nothing.
  CHECK_FALSE(RecordAnswerAfterBackoff(backoff, start));
  CHECK(BackoffHeldUntil(backoff) > end);
  SUBCASE("It is taken") {
    CHECK(RecordAnswerAfterBackoff(backoff, end));
    RecordSentAfterBackoff(backoff, end);
    CHECK(BackoffHeldUntil(backoff) == end);
  }
  SUBCASE("It is rejected with another backoff") {
    const TimePoint later = end + std::chrono::milliseconds(5);
    CHECK(RecordBackoff(backoff, std::chrono::seconds(2), later));
    CHECK(BackoffHeldUntil(backoff) == later + std::chrono::seconds(2));
  }
  SUBCASE("It is not answered") {
    CHECK(BackoffHeldUntil(backoff) == end + std::chrono::seconds(1));
  }
}

}  // namespace bramleyspan::limits
