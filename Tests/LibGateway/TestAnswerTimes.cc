#include "LibGateway/AnswerTimes.h"

#include <doctest/doctest.h>

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const AnswerOutlook kStream{.events = 24,
                            .objective = milliseconds(500),
                            .longest_pause = milliseconds(120),
                            .allowed = seconds(20)};
const AnswerOutlook kCall{.objective = milliseconds(100),
                          .allowed = seconds(8)};

// A stream with these pauses, one of which is `longest`.
AnswerRun StreamOf(size_t events, Duration pause, Duration longest) {
  return {.first = milliseconds(200),
          .events = events,
          .rest = pause * static_cast<int64_t>(events - 2) + longest,
          .longest_pause = longest};
}

AnswerTimes WithAnswers(size_t count, const AnswerRun& run) {
  AnswerTimes times;
  for (size_t i = 0; i < count; ++i) {
    RecordWhole(times, run, kStart);
  }
  return times;
}

const AnswerRun kUsualStream = StreamOf(24, milliseconds(50), milliseconds(50));

}  // namespace

TEST_CASE("A call of which nothing is known may be late") {
  CHECK(ExpectedRun({}, kCall, kStart) == milliseconds(300));
}

TEST_CASE("A stream whose pauses were not seen may take what it is allowed") {
  CHECK(ExpectedRun({}, kStream, kStart) == kStream.allowed);
  AnswerOutlook unknown = kStream;
  unknown.events = 0;
  CHECK(ExpectedRun({}, unknown, kStart) == unknown.allowed);
  const AnswerTimes of_short_ones =
      WithAnswers(50, StreamOf(3, milliseconds(50), milliseconds(50)));
  CHECK(ExpectedRun(of_short_ones, kStream, kStart) == kStream.allowed);
  CHECK(ExpectedRun(of_short_ones, unknown, kStart) == kStream.allowed);
}

TEST_CASE("A stream is expected to pass as the slowest of lately") {
  // 200 + 23 * 50 ms, a half, and a pause.
  const AnswerTimes times = WithAnswers(50, kUsualStream);
  CHECK(ExpectedRun(times, kStream, kStart) == milliseconds(2075));
}

TEST_CASE("A long stream does not make short ones expected to be long") {
  AnswerTimes times = WithAnswers(50, kUsualStream);
  RecordWhole(times, StreamOf(400, milliseconds(50), milliseconds(50)), kStart);
  CHECK(ExpectedRun(times, kStream, kStart) == milliseconds(2075));
}

TEST_CASE("A group that stood may stand once more") {
  AnswerTimes times = WithAnswers(50, kUsualStream);
  RecordWhole(times, StreamOf(24, milliseconds(50), seconds(1)), kStart);
  CHECK(ExpectedRun(times, kStream, kStart) == milliseconds(3025));
}

TEST_CASE("Few answers, and those that go on, count if they are slow") {
  const AnswerTimes few =
      WithAnswers(3, StreamOf(24, milliseconds(250), milliseconds(250)));
  // 500 + 23 * 250 ms, a half, and a pause.
  CHECK(ExpectedRun(few, kStream, kStart) == milliseconds(9625));
  AnswerTimes open;
  RecordPart(open, StreamOf(6, milliseconds(250), milliseconds(250)), kStart);
  CHECK(ExpectedRun(open, kStream, kStart) == milliseconds(9625));
  AnswerTimes fast;
  RecordPart(fast, StreamOf(6, milliseconds(1), milliseconds(1)), kStart);
  // 500 + 23 * 120 ms, a half, and a pause.
  CHECK(ExpectedRun(fast, kStream, kStart) ==
        milliseconds(4890) + milliseconds(1));
}

TEST_CASE("A call is expected to take as long as the longest, and a margin") {
  const AnswerTimes times =
      WithAnswers(50, AnswerRun{.first = milliseconds(20)});
  CHECK(ExpectedRun(times, kCall, kStart) == milliseconds(220));
  const AnswerTimes long_calls =
      WithAnswers(50, AnswerRun{.first = seconds(2)});
  CHECK(ExpectedRun(long_calls, kCall, kStart) == seconds(3));
}

TEST_CASE("No answer is expected to take longer than it is allowed to") {
  const AnswerTimes times = WithAnswers(50, AnswerRun{.first = seconds(30)});
  CHECK(ExpectedRun(times, kCall, kStart) == kCall.allowed);
}

TEST_CASE("Answers are forgotten after two spans") {
  AnswerTimes times = WithAnswers(50, AnswerRun{.first = seconds(2)});
  for (Duration later = seconds(1); later < seconds(40); later += seconds(1)) {
    for (int i = 0; i < 20; ++i) {
      RecordWhole(times, {.first = seconds(1)}, kStart + later);
    }
    const Duration expected = ExpectedRun(times, kCall, kStart + later);
    CAPTURE(later.count());
    if (later < seconds(15)) {
      CHECK(expected == seconds(3));
    }
    if (later >= seconds(30)) {
      CHECK(expected == milliseconds(1500));
    }
  }
  CHECK(ExpectedRun(times, kCall, kStart + seconds(90)) == milliseconds(300));
}

}  // namespace bramleyspan::gateway
