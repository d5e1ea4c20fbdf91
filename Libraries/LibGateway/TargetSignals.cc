#include "LibGateway/TargetSignals.h"

#include <algorithm>
#include <string_view>

#include "LibHTTP/HeaderValues.h"

namespace bramleyspan::gateway {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// A request on trial without an answer for this long is followed by another.
constexpr Duration kTrialTimeout = std::chrono::seconds(1);

}  // namespace

AnswerSignals ParseSignals(const CallHeaders& names,
                           int status,
                           const http::HeaderList& headers) {
  AnswerSignals signals;
  const std::string_view limit = http::FindHeader(headers, names.rate_limit);
  signals.rate_limit = http::ParseDecimal(limit);
  signals.is_rate_limit_unreadable = !limit.empty() && !signals.rate_limit;
  signals.is_leaving = http::FindHeader(headers, names.leaving) == "1";
  const std::string_view after = http::FindHeader(headers, "retry-after");
  const bool is_rejection =
      status == kUnavailable || status == kTooManyRequests;
  if (!is_rejection || after.empty()) {
    return signals;
  }
  signals.backoff = http::ParseRetryAfter(after);
  signals.is_backoff_unreadable = !signals.backoff.has_value();
  return signals;
}

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

}  // namespace bramleyspan::gateway
