#include "LibGateway/AnswerTimes.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::gateway {

namespace {

constexpr Duration kSpan = std::chrono::seconds(15);
// Fewer answers say little of how long the longest ones take.
constexpr size_t kMinAnswers = 20;
// Fewer events say little of the pause between two.
constexpr size_t kMinEvents = 4;
// An answer may take longer than the longest ones of lately: by this fraction,
// as a divisor, and by so much at least.
constexpr int kMarginDivisor = 2;
constexpr Duration kMinMargin = std::chrono::milliseconds(200);

// Begins a new span if the present one is over.
void Advance(AnswerTimes& times, TimePoint now) {
  if (now - times.began < kSpan) {
    return;
  }
  const bool is_old = now - times.began >= 2 * kSpan;
  times.before = std::exchange(times.present, {});
  if (is_old) {
    times.before = {};
  }
  times.began = now;
}

AnswerTimes::Span LongestOf(const AnswerTimes::Span& left,
                            const AnswerTimes::Span& right) {
  return {.first = std::max(left.first, right.first),
          .pause = std::max(left.pause, right.pause),
          .longest_pause = std::max(left.longest_pause, right.longest_pause),
          .most_events = std::max(left.most_events, right.most_events),
          .has_pause = left.has_pause || right.has_pause,
          .answers = left.answers + right.answers};
}

}  // namespace

void RecordWhole(AnswerTimes& times, const AnswerRun& run, TimePoint now) {
  RecordPart(times, run, now);
  times.present.most_events = std::max(times.present.most_events, run.events);
  ++times.present.answers;
}

void RecordPart(AnswerTimes& times, const AnswerRun& run, TimePoint now) {
  Advance(times, now);
  AnswerTimes::Span& span = times.present;
  span.first = std::max(span.first, run.first);
  span.longest_pause = std::max(span.longest_pause, run.longest_pause);
  if (run.events >= kMinEvents) {
    const auto other_pauses = static_cast<int64_t>(run.events - 2);
    const Duration pause = (run.rest - run.longest_pause) / other_pauses;
    span.pause = std::max(span.pause, pause);
    span.has_pause = true;
  }
}

Duration ExpectedRun(const AnswerTimes& times,
                     const AnswerOutlook& outlook,
                     TimePoint now) {
  AnswerTimes known = times;
  Advance(known, now);
  AnswerTimes::Span lately = LongestOf(known.present, known.before);
  if (lately.answers < kMinAnswers) {
    lately.first = std::max(lately.first, outlook.objective);
    lately.pause = std::max(lately.pause, outlook.longest_pause);
  }
  const size_t events =
      outlook.events != 0 ? outlook.events : lately.most_events;
  if (events == 0 || (events > 1 && !lately.has_pause)) {
    return outlook.allowed;
  }
  const Duration usual =
      lately.first + lately.pause * static_cast<int64_t>(events - 1);
  const Duration margin = std::max(usual / kMarginDivisor, kMinMargin);
  // A group may stand once more for as long as it did.
  const Duration stand = events > 1 ? lately.longest_pause : Duration(0);
  return std::min(usual + margin + stand, outlook.allowed);
}

}  // namespace bramleyspan::gateway
