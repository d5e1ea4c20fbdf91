#include "LibGateway/TargetSignals.h"

#include <string_view>

#include "LibHTTP/HeaderValues.h"

namespace bramleyspan::gateway {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

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

}  // namespace bramleyspan::gateway
