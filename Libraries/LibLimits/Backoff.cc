#include "LibLimits/Backoff.h"

#include <algorithm>

namespace bramleyspan::limits {

namespace {

// If the first request after a backoff has no answer for this long, another is
// sent.
constexpr Duration kTrialTimeout = std::chrono::seconds(1);

}  // namespace

bool RecordBackoff(Backoff& backoff, Duration asked, TimePoint now) {
  const bool is_new = backoff.until <= now;
  if (is_new) {
    backoff.since = now;
  }
  backoff.until = std::max(backoff.until, now + asked);
  backoff.is_on_trial = true;
  backoff.trial_until = {};
  return is_new && asked > Duration(0);
}

void RecordSentAfterBackoff(Backoff& backoff, TimePoint now) {
  if (backoff.is_on_trial) {
    backoff.trial_until = now + kTrialTimeout;
  }
}

bool RecordAnswerAfterBackoff(Backoff& backoff, TimePoint sent_at) {
  const bool ends_trial = backoff.is_on_trial && sent_at >= backoff.until;
  if (ends_trial) {
    backoff.is_on_trial = false;
    backoff.trial_until = {};
  }
  return ends_trial;
}

TimePoint BackoffHeldUntil(const Backoff& backoff) {
  return std::max(backoff.until, backoff.trial_until);
}

}  // namespace bramleyspan::limits
