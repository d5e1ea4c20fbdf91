// Who waits for a place, for how long, in which order, and when those without
// one are told to come back. Answers load above what the groups take: after a
// group was down, during a burst, and while a jump of demand makes passes long.
#pragma once

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// How long a route's callers are ready to wait, learnt from what they say, so
// that a caller that returns after a refusal is told from a new one: each
// attempt of a request has an id of its own and names only the time left.
//
// Failure: callers that were refused while a group was down returned as it
// opened and were taken for new ones; what could still be in time waited behind
// them.
struct WaitBudget {
  // The longest time left that was named lately.
  Duration longest{};
  TimePoint longest_at;
};

// Takes the time that a caller has left, no more than its route allows. Returns
// whether it must have waited before: it has much less left than others of the
// same route.
bool RecordWaitBudget(WaitBudget& budget, Duration left, TimePoint now);

// What decides how long a request may wait.
struct WaitLimits {
  bool is_streaming = false;
  // Whether the caller has waited before, so that it will not come once more.
  bool is_retry = false;
  // The time within which the first event is on time.
  Duration objective{};
  // What is left of the caller's time and the route's.
  Duration allowed{};
  // How long a caller listens without an event.
  Duration event_timeout{};
};

struct Wait {
  // From then on the request can no longer be answered in time.
  TimePoint late_from;
  // Without a place the request is given up then.
  TimePoint ends;
};

Wait PlanWait(const WaitLimits& limits, TimePoint arrived);

// What a waiting request is ordered by. The lower priority is the more urgent.
struct Urgency {
  int priority = 0;
  bool is_late = false;
  bool is_retry = false;
};

// Whether `left` goes first: the more urgent, then those that can still be in
// time, then those that were turned away before.
bool is_before(const Urgency& left, const Urgency& right);

// What stands in a refused request's way.
enum class RefusalReason {
  // All places are taken, or the group is closed.
  kNoPermit,
  // The target had no slot a moment ago.
  kRejected,
  // The desired state is being read.
  kStarting,
  // It can't be read: the store does not answer.
  kStoreUnavailable,
};

// When a refused caller is told to come back. What may be over in a moment is
// worth a try then; of anything else most is over as late as callers heed.
//
// Failure: callers come back once. After a loss of power those that were told
// to come back in half a second met a store that was still away.
Duration RetryDelayFor(RefusalReason reason, Duration left);

}  // namespace bramleyspan::gateway
