// What one request costs, noted while it travels and summed when it ends.
#pragma once

#include "Kernel/Time.h"
#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// How a request ended for its caller.
enum class Ending { kAnswered, kRefused, kFailed, kCancelled };

struct RequestMeter {
  Counts counts;
  TimePoint arrived;
  // The attempt under way, or the last one.
  TimePoint sent;
  bool is_at_target = false;
  bool has_forwarded_events = false;
  Duration last_attempt_time{};
  // The time of attempts whose events went on to the caller.
  Duration forwarded_time{};
};

// The request is sent to a target.
void RecordSent(RequestMeter& meter, TimePoint now);

// An event with so many tokens went on to the caller.
void RecordEvent(RequestMeter& meter, uint64_t tokens);

// The target has the request no more.
void RecordAttemptEnd(RequestMeter& meter, TimePoint now);

// The request has ended. `tokens_in` are counted if a target had it.
Counts FinalCounts(const RequestMeter& meter,
                   Ending ending,
                   uint64_t tokens_in);

}  // namespace bramleyspan::usage
