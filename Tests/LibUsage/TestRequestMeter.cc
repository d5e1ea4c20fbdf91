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

// A request that waits and is then sent to one target or several.
struct SimulatedRequest {
  TimePoint now = TimePoint(std::chrono::seconds(5));
  RequestMeter meter{.counts = {}, .arrived = now, .sent = {}};

  void Advance(Duration time) { this->now += time; }
  void Attempt(Duration time, uint64_t events) {
    RecordSent(this->meter, this->now);
    for (uint64_t event = 0; event < events; ++event) {
      RecordEvent(this->meter, 4);
    }
    this->Advance(time);
    RecordAttemptEnd(this->meter, this->now);
  }
};

}  // namespace

// Failure: a target breaks off before its first event and another one answers;
// the owner is billed for both attempts, and the first is not shown as waste.
TEST_CASE("an attempt that contributed nothing to the answer is waste") {
  SimulatedRequest request;
  request.Advance(kQueue);
  request.Attempt(kFirst, 0);
  request.Attempt(kSecond, 3);
  const Counts counts =
      FinalCounts(request.meter, Ending::kAnswered, kTokensIn);
  CHECK(counts.answered == 1);
  CHECK(counts.retries == 1);
  CHECK(counts.queue_microseconds == Microseconds(kQueue));
  CHECK(counts.target_microseconds == Microseconds(kFirst + kSecond));
  CHECK(counts.wasted_microseconds == Microseconds(kFirst));
  CHECK(counts.tokens_in == kTokensIn);
  CHECK(counts.tokens_out == 12);
}

// Failure: a stream breaks off and is resumed at another rank; the first part
// counts as waste although the caller got the events of both.
TEST_CASE("both parts of a resumed stream are useful") {
  SimulatedRequest request;
  request.Attempt(kFirst, 2);
  request.Attempt(kSecond, 3);
  CHECK(FinalCounts(request.meter, Ending::kAnswered, kTokensIn)
            .wasted_microseconds == 0);
}

// Failure: the caller disconnects or no target can answer, and the targets'
// time is not counted as waste.
TEST_CASE("work for a request that is not answered is waste") {
  SimulatedRequest request;
  request.Attempt(kFirst, 2);
  for (const Ending ending : {Ending::kCancelled, Ending::kFailed}) {
    CHECK(FinalCounts(request.meter, ending, kTokensIn).wasted_microseconds ==
          Microseconds(kFirst));
  }
}

TEST_CASE("an answer without events comes from the last attempt") {
  SimulatedRequest request;
  request.Attempt(kFirst, 0);
  request.Attempt(kSecond, 0);
  CHECK(FinalCounts(request.meter, Ending::kAnswered, 0).wasted_microseconds ==
        Microseconds(kFirst));
}

// The request was sent to no target: only the request itself is counted.
TEST_CASE("a refused request costs no tokens") {
  SimulatedRequest request;
  const Counts counts = FinalCounts(request.meter, Ending::kRefused, kTokensIn);
  CHECK(counts.requests == 1);
  CHECK(counts.refused == 1);
  CHECK(counts.tokens_in == 0);
  CHECK(counts.target_microseconds == 0);
}

}  // namespace bramleyspan::usage
