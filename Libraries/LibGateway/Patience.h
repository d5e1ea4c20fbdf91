// How long a route's callers are ready to wait, learnt from what they say, so
// that a caller that returns after a refusal is told from a new one: each
// attempt of a request has an id of its own and names only the time left.
//
// Failure: callers that were refused while a group was down returned as it
// opened and were taken for new ones; what could still be in time waited behind
// them.
#pragma once

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

struct Patience {
  // The longest time left that was named lately.
  Duration longest{};
  TimePoint longest_at;
};

// Takes the time that a caller has left. Returns whether it must have waited
// before: it has much less left than others of the same route.
bool NotePatience(Patience& patience, Duration left, TimePoint now);

}  // namespace bramleyspan::gateway
