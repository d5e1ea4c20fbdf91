#include "LibGateway/Waiting.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// A caller retries if it has less than this fraction of the longest wait budget
// of its route; new callers of one route differ by less.
constexpr double kRetryFraction = 0.8;
// The longest wait budget expires after this time, because the operator may
// give a route shorter limits.
constexpr Duration kBudgetLifetime = std::chrono::seconds(60);
// The fraction of the objective, as a divisor, after which the first event of a
// request without a permit will be late.
constexpr int kObjectiveDivisor = 2;
constexpr Duration kMaxWait = std::chrono::milliseconds(500);
// The fraction of the event timeout for which a late stream waits for a permit.
// A late stream is worth less than one in time and more than a refusal.
constexpr double kEventTimeoutFraction = 0.7;
// The longest retry delay that callers accept, as a divisor of their time left.
// Streams last for seconds, and a caller that retries too early, while all
// permits are still in use, is refused for good.
constexpr int kRetryDivisor = 3;
constexpr Duration kMaxDelayWhileStarting = std::chrono::milliseconds(500);
constexpr Duration kMaxDelayAfterRejection = std::chrono::milliseconds(200);

}  // namespace

bool RecordWaitBudget(WaitBudget& budget, Duration left, TimePoint now) {
  if (left >= budget.longest || now - budget.longest_at > kBudgetLifetime) {
    budget = {.longest = left, .longest_at = now};
  }
  return left < kRetryFraction * budget.longest;
}

Duration InTimeWaitOf(Duration objective) {
  return std::min<Duration>(objective / kObjectiveDivisor, kMaxWait);
}

Wait PlanWait(const WaitLimits& limits, TimePoint arrived) {
  Wait wait{.late_from = arrived + std::min(InTimeWaitOf(limits.objective),
                                            limits.allowed / 2)};
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
