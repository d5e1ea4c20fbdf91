// Decides how long a request waits for a permit, in which order waiting
// requests are served, and after what time a refused caller should retry. It
// handles load above the limits of the groups: after an outage of a group,
// during a burst, and while a demand shift makes passes long.
#pragma once

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// The longest wait budget that callers of a route have announced lately. It
// distinguishes a caller that retries after a refusal from a new one: each
// attempt has an id of its own and announces only the time left.
//
// Failure: callers that were refused while a group was down retried when it
// opened and were taken for new ones; requests that could still be in time
// waited behind them.
struct WaitBudget {
  // The longest time left that was announced lately, and when.
  Duration longest{};
  TimePoint longest_at;
};

// Records the time that a caller has left, which is no more than its route
// allows. Returns whether the caller retries, that is, has much less time left
// than other callers of the route.
bool RecordWaitBudget(WaitBudget& budget, Duration left, TimePoint now);

// Input of PlanWait.
struct WaitLimits {
  bool is_streaming = false;
  // Whether the caller retries already, and will not retry again.
  bool is_retry = false;
  // Time until the first event that is on time.
  Duration objective{};
  // The smaller of the time that the caller and the route still allow.
  Duration allowed{};
  // Time without an event after which the caller disconnects.
  Duration event_timeout{};
};

struct Wait {
  // From then on the answer can no longer be on time.
  TimePoint late_from;
  // The request is refused then if it has no permit.
  TimePoint ends;
};

// Returns how long a stream of this objective can wait for a permit and be in
// time.
Duration InTimeWaitOf(Duration objective);

Wait PlanWait(const WaitLimits& limits, TimePoint arrived);

// The order of waiting requests. A lower priority is more urgent.
struct Urgency {
  int priority = 0;
  bool is_late = false;
  bool is_retry = false;
};

// Whether `left` is served first: the more urgent one, then one that can still
// be in time, then one whose caller retries.
bool is_before(const Urgency& left, const Urgency& right);

// The shortest delay after which a refused caller is asked to retry.
inline constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);

// Why a request is refused.
enum class RefusalReason {
  // All permits are in use, or the group is closed.
  kNoPermit,
  // The target rejected the request: it had no free slot.
  kRejected,
  // The gateway is still reading the desired state.
  kStarting,
  // The gateway cannot read the desired state: the store does not answer.
  kStoreUnavailable,
};

// Returns after what time a refused caller should retry. If the reason may end
// soon, that is a short time; otherwise it is the longest delay that callers
// accept, since most other obstacles have ended by then.
//
// Failure: callers retry only once. After a power outage those that were sent a
// delay of half a second found the store still unavailable.
Duration RetryDelayFor(RefusalReason reason, Duration left);

}  // namespace bramleyspan::gateway
