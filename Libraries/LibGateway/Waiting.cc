#include "LibGateway/Waiting.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// Callers of one route differ by less than this part of their patience.
constexpr double kReturningPart = 0.8;
// The operator may give a route shorter limits; what was named before is
// forgotten after this time.
constexpr Duration kRemembered = std::chrono::seconds(60);
// The part of the objective after which the first event of a request without a
// place will come late.
constexpr int kWaitDivisor = 2;
constexpr Duration kLongestWait = std::chrono::milliseconds(500);
// The part of a caller's patience for which a late stream waits for a place. It
// is worth less than one in time and more than a refusal.
constexpr double kSilencePart = 0.7;
// Streams last for seconds, and a caller that comes back into the same crowd is
// refused for good. Callers heed no more than this part of their time.
constexpr int kReturnDivisor = 3;
constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
constexpr Duration kReturnToStarted = std::chrono::milliseconds(500);
constexpr Duration kReturnToTarget = std::chrono::milliseconds(200);

}  // namespace

bool NotePatience(Patience& patience, Duration left, TimePoint now) {
  if (left >= patience.longest || now - patience.longest_at > kRemembered) {
    patience = {.longest = left, .longest_at = now};
  }
  return left < kReturningPart * patience.longest;
}

Wait PlanWait(const WaitLimits& limits, TimePoint arrived) {
  Wait wait{.late_from =
                arrived + std::min({limits.objective / kWaitDivisor,
                                    limits.allowed / 2, kLongestWait})};
  wait.ends = wait.late_from;
  if (!limits.is_streaming) {
    return wait;
  }
  wait.ends = arrived +
              std::min(limits.allowed / 2, std::chrono::duration_cast<Duration>(
                                               kSilencePart * limits.silence));
  if (limits.is_returning) {
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
  return left.is_late && left.is_returning && !right.is_returning;
}

Duration ReturnAfter(Obstacle obstacle, Duration left) {
  const Duration heeded = std::max(kShortestReturn, left / kReturnDivisor);
  switch (obstacle) {
    case Obstacle::kStarting:
      return std::min(heeded, kReturnToStarted);
    case Obstacle::kRejected:
      return std::min(heeded, kReturnToTarget);
    case Obstacle::kNoPlace:
    case Obstacle::kStoreAway:
      return heeded;
  }
  return heeded;
}

}  // namespace bramleyspan::gateway
