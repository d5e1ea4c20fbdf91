#include <doctest/doctest.h>

#include "LibMemory/Connections.h"

namespace bramleyspan::memory {

namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

TimePoint Ago(int milliseconds) {
  return kNow - std::chrono::milliseconds(milliseconds);
}

}  // namespace

TEST_CASE("What is longest idle is closed first, busy connections never") {
  const std::vector<ConnectionView> open{
      {.number = 1, .use = ConnectionUse::kBusy, .since = Ago(9000)},
      {.number = 2, .use = ConnectionUse::kComing, .since = Ago(2000)},
      {.number = 3, .use = ConnectionUse::kIdle, .since = Ago(10)},
      {.number = 4, .use = ConnectionUse::kIdle, .since = Ago(5000)},
      {.number = 5, .use = ConnectionUse::kComing, .since = Ago(500)},
      {.number = 6, .use = ConnectionUse::kClosing, .since = Ago(1)},
  };
  CHECK(ChooseClosed(open, 1, kNow) == std::vector<uint64_t>{6});
  CHECK(ChooseClosed(open, 9, kNow) == std::vector<uint64_t>{6, 4, 3, 2});
}

// Failure: callers' connections take the descriptors that the store, peers and
// targets need.
TEST_CASE("All ports together leave descriptors for a target each and more") {
  constexpr uint64_t kLargeMachine = uint64_t{4} << 30;
  for (const uint64_t descriptors : {400, 1024, 2048, 4100, 4200, 65536}) {
    const ConnectionShares shares = SharesOf(descriptors, kLargeMachine);
    const size_t taken = 2 * shares.callers + shares.directory +
                         shares.internal + shares.readiness + shares.metrics;
    CHECK(taken + descriptors / 16 <= descriptors);
    CHECK(shares.callers >= descriptors / 4);
  }
}

TEST_CASE("Connections take a quarter of the memory at most") {
  const ConnectionShares shares = SharesOf(4200, uint64_t{112} << 20);
  CHECK(shares.callers == 1500);
  CHECK(SharesOf(65536, uint64_t{112} << 20).callers == 1792);
}

}  // namespace bramleyspan::memory
