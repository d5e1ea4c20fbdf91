#include "LibUsage/RequestMeter.h"

namespace bramleyspan::usage {

namespace {

uint64_t MicrosecondsOf(Duration time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

uint64_t& EndingOf(Counts& counts, Ending ending) {
  switch (ending) {
    case Ending::kAnswered:
      return counts.answered;
    case Ending::kRefused:
      return counts.refused;
    case Ending::kFailed:
      return counts.failed;
    case Ending::kCancelled:
      break;
  }
  return counts.cancelled;
}

}  // namespace

void RecordSent(RequestMeter& meter, TimePoint now) {
  const bool is_first = meter.sent == TimePoint{};
  if (is_first) {
    meter.counts.queue_microseconds = MicrosecondsOf(now - meter.arrived);
  } else {
    ++meter.counts.retries;
  }
  meter.sent = now;
  meter.is_at_target = true;
  meter.has_forwarded_events = false;
}

void RecordEvent(RequestMeter& meter, uint64_t tokens) {
  meter.counts.tokens_out += tokens;
  meter.has_forwarded_events = true;
}

void RecordAttemptEnd(RequestMeter& meter, TimePoint now) {
  if (!meter.is_at_target) {
    return;
  }
  meter.is_at_target = false;
  meter.last_attempt_time = now - meter.sent;
  meter.counts.target_microseconds += MicrosecondsOf(meter.last_attempt_time);
  if (meter.has_forwarded_events) {
    meter.forwarded_time += meter.last_attempt_time;
  }
}

Counts FinalCounts(const RequestMeter& meter,
                   Ending ending,
                   uint64_t tokens_in) {
  Counts counts = meter.counts;
  counts.requests = 1;
  ++EndingOf(counts, ending);
  if (meter.sent != TimePoint{}) {
    counts.tokens_in = tokens_in;
  }
  counts.wasted_microseconds = counts.target_microseconds;
  if (ending == Ending::kAnswered) {
    // An answer without events came from the last attempt.
    const Duration useful = meter.counts.tokens_out > 0
                                ? meter.forwarded_time
                                : meter.last_attempt_time;
    counts.wasted_microseconds -= MicrosecondsOf(useful);
  }
  return counts;
}

}  // namespace bramleyspan::usage
