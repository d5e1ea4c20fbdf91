// Measures what one request costs while it is served; the counts are final when
// it ends.
#pragma once

#include "Kernel/Time.h"
#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// How a request ended for its caller.
enum class Ending { kAnswered, kRefused, kFailed, kCancelled };

struct RequestMeter {
  Counts counts;
  TimePoint arrived;
  // When the current or last attempt was sent.
  TimePoint sent;
  bool is_at_target = false;
  bool has_forwarded_events = false;
  Duration last_attempt_time{};
  // Total time of the attempts whose events were forwarded to the caller.
  Duration forwarded_time{};
};

// Records that the request is sent to a target.
void RecordSent(RequestMeter& meter, TimePoint now);

// Records that an event with `tokens` tokens was forwarded to the caller.
void RecordEvent(RequestMeter& meter, uint64_t tokens);

// Records that the attempt at the target has ended.
void RecordAttemptEnd(RequestMeter& meter, TimePoint now);

// Returns the counts of a request that has ended. `tokens_in` is counted only
// if the request was sent to a target.
Counts FinalCounts(const RequestMeter& meter,
                   Ending ending,
                   uint64_t tokens_in);

}  // namespace bramleyspan::usage
