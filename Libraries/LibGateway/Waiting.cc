#include "LibGateway/Waiting.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// Callers of one route differ by less than this part of their patience.
constexpr double kRetryFraction = 0.8;
// The operator may give a route shorter limits; what was named before is
// forgotten after this time.
constexpr Duration kBudgetLifetime = std::chrono::seconds(60);
// The part of the objective after which the first event of a request without a
// place will come late.
constexpr int kObjectiveDivisor = 2;
constexpr Duration kMaxWait = std::chrono::milliseconds(500);
// The part of a caller's patience for which a late stream waits for a place. It
// is worth less than one in time and more than a refusal.
constexpr double kEventTimeoutFraction = 0.7;
// Streams last for seconds, and a caller that comes back into the same crowd is
// refused for good. Callers heed no more than this part of their time.
constexpr int kRetryDivisor = 3;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxDelayWhileStarting = std::chrono::milliseconds(500);
constexpr Duration kMaxDelayAfterRejection = std::chrono::milliseconds(200);

}  // namespace

bool RecordWaitBudget(WaitBudget& budget, Duration left, TimePoint now) {
  if (left >= budget.longest || now - budget.longest_at > kBudgetLifetime) {
    budget = {.longest = left, .longest_at = now};
  }
  return left < kRetryFraction * budget.longest;
}

Wait PlanWait(const WaitLimits& limits, TimePoint arrived) {
  Wait wait{.late_from =
                arrived + std::min({limits.objective / kObjectiveDivisor,
                                    limits.allowed / 2, kMaxWait})};
  wait.ends = wait.late_from;
  if (!limits.is_streaming) {
    return wait;
  }
  wait.ends =
      arrived + std::min(limits.allowed / 2,
                         std::chrono::duration_cast<Duration>(
                             kEventTimeoutFraction * limits.event_timeout));
  if (limits.is_retry) {
    wait.late_from = arrived;
  }
  return wait;
}

bool is_before(const Urgency& left, const Urgency& right) {
  if (left.priority != right.priority) {
    return left.priority < right.priority;
  }
  if (left.is_late != right.is_late) {
    return right.is_late;
  }
  return left.is_late && left.is_retry && !right.is_retry;
}

Duration RetryDelayFor(RefusalReason reason, Duration left) {
  const Duration delay = std::max(kMinRetryDelay, left / kRetryDivisor);
  switch (reason) {
    case RefusalReason::kStarting:
      return std::min(delay, kMaxDelayWhileStarting);
    case RefusalReason::kRejected:
      return std::min(delay, kMaxDelayAfterRejection);
    case RefusalReason::kNoPermit:
    case RefusalReason::kStoreUnavailable:
      return delay;
  }
  return delay;
}

}  // namespace bramleyspan::gateway
