// Keeps the time for which a server that rejected a request wants no others.
// After it, requests are sent one at a time until one is not rejected, because
// all that were held back would come at once. It answers load above what a
// server takes, as the server itself states it.
#pragma once

#include "Kernel/Time.h"

namespace bramleyspan::limits {

// The time for which a server wants no requests from this process.
struct Backoff {
  TimePoint since;
  TimePoint until;
  // Whether no request after the backoff has been answered yet.
  bool is_on_trial = false;
  // While the first request after the backoff is open, no other is sent until
  // then.
  TimePoint trial_until;
};

// Records that a server asks for a backoff. Of overlapping ones the one that
// ends last counts. Returns whether none was in force.
bool RecordBackoff(Backoff& backoff, Duration asked, TimePoint now);

// Records that a request is sent to the server.
void RecordSentAfterBackoff(Backoff& backoff, TimePoint now);

// Records that the server answered a request without a backoff that was sent at
// `sent_at`. Returns whether all requests may be sent again.
bool RecordAnswerAfterBackoff(Backoff& backoff, TimePoint sent_at);

// Returns until when no request is sent to the server.
TimePoint BackoffHeldUntil(const Backoff& backoff);

}  // namespace bramleyspan::limits
