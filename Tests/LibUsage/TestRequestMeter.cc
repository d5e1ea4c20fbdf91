#include <doctest/doctest.h>

#include "LibUsage/RequestMeter.h"

namespace bramleyspan::usage {

namespace {

constexpr std::chrono::milliseconds kQueue(40);
constexpr std::chrono::milliseconds kFirst(100);
constexpr std::chrono::milliseconds kSecond(300);
constexpr uint64_t kTokensIn = 700;

uint64_t Microseconds(Duration time) {
  return static_cast<uint64_t>(time.count());
}

// A request that waits, goes to a target, and then to another one.
struct Journey {
  TimePoint now = TimePoint(std::chrono::seconds(5));
  RequestMeter meter{.counts = {}, .arrived = now, .sent = {}};

  void Pass(Duration time) { this->now += time; }
  void Attempt(Duration time, uint64_t events) {
    RecordSent(this->meter, this->now);
    for (uint64_t event = 0; event < events; ++event) {
      RecordEvent(this->meter, 4);
    }
    this->Pass(time);
    RecordAttemptEnd(this->meter, this->now);
  }
};

}  // namespace

// A target breaks off before its first event and another one answers: the
// owner is billed for both, and the first one shows as waste.
TEST_CASE("an attempt that brought nothing is waste") {
  Journey journey;
  journey.Pass(kQueue);
  journey.Attempt(kFirst, 0);
  journey.Attempt(kSecond, 3);
  const Counts counts =
      FinalCounts(journey.meter, Ending::kAnswered, kTokensIn);
  CHECK(counts.answered == 1);
  CHECK(counts.retries == 1);
  CHECK(counts.queue_microseconds == Microseconds(kQueue));
  CHECK(counts.target_microseconds == Microseconds(kFirst + kSecond));
  CHECK(counts.wasted_microseconds == Microseconds(kFirst));
  CHECK(counts.tokens_in == kTokensIn);
  CHECK(counts.tokens_out == 12);
}

// A stream breaks off midway and goes on at another rank: the caller has the
// events of both.
TEST_CASE("both parts of a stream that went on elsewhere are of use") {
  Journey journey;
  journey.Attempt(kFirst, 2);
  journey.Attempt(kSecond, 3);
  CHECK(FinalCounts(journey.meter, Ending::kAnswered, kTokensIn)
            .wasted_microseconds == 0);
}

// The caller leaves, or nobody could answer: all that targets did is waste.
TEST_CASE("work for a request that is not answered is waste") {
  Journey journey;
  journey.Attempt(kFirst, 2);
  for (const Ending ending : {Ending::kCancelled, Ending::kFailed}) {
    CHECK(FinalCounts(journey.meter, ending, kTokensIn).wasted_microseconds ==
          Microseconds(kFirst));
  }
}

TEST_CASE("an answer in one piece comes from the last attempt") {
  Journey journey;
  journey.Attempt(kFirst, 0);
  journey.Attempt(kSecond, 0);
  CHECK(FinalCounts(journey.meter, Ending::kAnswered, 0).wasted_microseconds ==
        Microseconds(kFirst));
}

// No target had it: nothing but the request itself is counted.
TEST_CASE("a refused request costs no tokens") {
  Journey journey;
  const Counts counts = FinalCounts(journey.meter, Ending::kRefused, kTokensIn);
  CHECK(counts.requests == 1);
  CHECK(counts.refused == 1);
  CHECK(counts.tokens_in == 0);
  CHECK(counts.target_microseconds == 0);
}

}  // namespace bramleyspan::usage
