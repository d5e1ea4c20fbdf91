// Tells which streams lie at a target that shows no sign of life, so that they
// are moved while their callers still wait.
//
// Failure: the VM of a rank freezes, its connections stay open, and its group
// goes on without a word of it. A fixed time after the request was sent is no
// measure: a stream that waited for its permit lost its caller before that time
// was over, and the server, which can't see the connection close, worked on for
// a caller that had left.
#pragma once

#include <optional>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// What a gateway knows of the life of one target.
struct Liveness {
  // When the target last sent a byte of any answer.
  TimePoint answered_at;
  // When its agent last reported a fresh state of it.
  TimePoint reported_at;
  // Since when its agent has left probes unanswered.
  std::optional<TimePoint> probed_since;
  TimePoint last_probe_at;
};

void RecordAnswer(Liveness& liveness, TimePoint now);

// Records that the agent answered a probe with a report of that age.
void RecordReport(Liveness& liveness, Duration report_age, TimePoint now);

// Whether the target has sent a part of an answer just now.
bool is_working(const Liveness& liveness, TimePoint now);

// Records that the agent was sent a probe.
void RecordProbe(Liveness& liveness, TimePoint now);

// Whether the agent has left probes unanswered, or knows nothing of its server,
// for so long that the target is taken for dead or frozen.
bool is_silent(const Liveness& liveness, TimePoint now);

// A stream that was sent to a target, and that its target owes an event.
struct OwedStream {
  // When it was sent, or its last event came.
  TimePoint since;
  // When its caller gives up waiting for the next event.
  TimePoint caller_leaves_at;
};

// Whether the target has sent nothing for so long that it is to be looked at.
bool is_owed(const OwedStream& stream, const Liveness& liveness, TimePoint now);

enum class OwedStep {
  kWait,
  // The agent of the target is to be probed.
  kProbe,
  // The stream is to be moved to another target, or ended.
  kMove,
};

// `is_group_working` tells whether another target of the group works. If none
// does, the group stands and its targets owe nothing, or this gateway is the
// one that is cut off.
OwedStep NextStepFor(const OwedStream& stream,
                     const Liveness& liveness,
                     bool is_group_working,
                     TimePoint now);

}  // namespace bramleyspan::gateway
