#include "LibGateway/Liveness.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// A target that owes events and sends none for so long is probed. Passes that
// are in time take a third of this.
constexpr Duration kSuspectAfter = std::chrono::milliseconds(300);
// Several probes are left unanswered in this time.
constexpr Duration kSilentAfter = std::chrono::milliseconds(120);
constexpr Duration kProbeInterval = std::chrono::milliseconds(40);
// What another target needs to take a stream over, or its caller to be told,
// before the caller leaves.
constexpr Duration kTimeToMove = std::chrono::milliseconds(350);

}  // namespace

void RecordAnswer(Liveness& liveness, TimePoint now) {
  liveness.answered_at = now;
  liveness.probed_since.reset();
}

void RecordReport(Liveness& liveness, Duration report_age, TimePoint now) {
  if (report_age < kSuspectAfter) {
    liveness.reported_at = now;
    liveness.probed_since.reset();
  }
}

bool is_working(const Liveness& liveness, TimePoint now) {
  return now - liveness.answered_at < kSuspectAfter;
}

void RecordProbe(Liveness& liveness, TimePoint now) {
  liveness.last_probe_at = now;
  if (!liveness.probed_since) {
    liveness.probed_since = now;
  }
}

bool is_silent(const Liveness& liveness, TimePoint now) {
  return liveness.probed_since && now - *liveness.probed_since >= kSilentAfter;
}

bool is_owed(const OwedStream& stream,
             const Liveness& liveness,
             TimePoint now) {
  return now - stream.since >= kSuspectAfter && !is_working(liveness, now);
}

OwedStep NextStepFor(const OwedStream& stream,
                     const Liveness& liveness,
                     bool is_group_working,
                     TimePoint now) {
  if (!is_owed(stream, liveness, now)) {
    return OwedStep::kWait;
  }
  if (now + kTimeToMove >= stream.caller_leaves_at) {
    return OwedStep::kMove;
  }
  if (is_silent(liveness, now)) {
    return is_group_working ? OwedStep::kMove : OwedStep::kWait;
  }
  const bool is_reported = now - liveness.reported_at < kSuspectAfter;
  return is_reported || now - liveness.last_probe_at < kProbeInterval
             ? OwedStep::kWait
             : OwedStep::kProbe;
}

}  // namespace bramleyspan::gateway
