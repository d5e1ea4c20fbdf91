// What targets ask of their callers in the heads of their answers. The adapter
// names the headers.
#pragma once

#include <cstdint>
#include <optional>

#include "Kernel/Time.h"
#include "LibGateway/CallHeaders.h"
#include "LibHTTP/Message.h"
#include "LibLimits/Backoff.h"
#include "LibLimits/Grants.h"

namespace bramleyspan::gateway {

// What one answer says.
struct AnswerSignals {
  // Requests a second that the target takes from all gateways together. None if
  // the answer names no limit.
  std::optional<double> rate_limit;
  // The answer names a limit that is no decimal number of 0 or more.
  bool is_rate_limit_unreadable = false;
  // Time for which the target wants no requests from this gateway, with a
  // rejection.
  std::optional<Duration> backoff;
  // The rejection names a time that is no number of seconds of 0 or more.
  bool is_backoff_unreadable = false;
  bool is_leaving = false;
};

AnswerSignals ParseSignals(const CallHeaders& names,
                           int status,
                           const http::HeaderList& headers);

// The rate limit of a target, as far as it is known.
struct RateLimit {
  // Requests a second, for all gateways together. None if the target names no
  // limit any more.
  std::optional<double> per_second;
  // When this began to hold, and when an answer last confirmed it.
  TimePoint since;
  TimePoint confirmed_at;
  // Until when the target is cold, and the requests a second, for all gateways
  // together, that it takes until then.
  TimePoint cold_until;
  double warm_up_rate = 0;
  // This gateway's part, and what it grants to all as the target's allocator.
  limits::Share share;
  limits::Allocator allocator;
  // How often this state was reported to other gateways, and when last.
  uint32_t reports = 0;
  TimePoint reported_at;
};

// What a target says of its leaving. It counts whatever the store lists: a
// store that lags, or a read that is stale, lists the target as usable.
struct Leaving {
  bool is_announced = false;
  TimePoint since;
  // Whether the store has listed the target as leaving, or no longer listed it.
  bool is_listed = false;
};

struct TargetSignals {
  RateLimit rate_limit;
  // The time for which the target wants no requests from this gateway.
  limits::Backoff backoff;
  Leaving leaving;
};

}  // namespace bramleyspan::gateway
