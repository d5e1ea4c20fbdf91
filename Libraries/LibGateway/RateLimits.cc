#include "LibGateway/RateLimits.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::gateway {

namespace {

constexpr limits::GrantSettings kGrantSettings;
// Requests a second that are granted whatever the limit.
constexpr double kMinRate = 0.25;
// Two answers within this time may reach the gateways in either order.
constexpr Duration kOrderTolerance = std::chrono::milliseconds(50);
// How often a change is reported in a row, and how often all else.
constexpr uint32_t kReportsAfterChange = 5;
constexpr Duration kReportInterval = std::chrono::seconds(1);
// How long the end of a limit is reported.
constexpr Duration kEndReportTime = std::chrono::seconds(10);

bool is_lower(const std::optional<double>& left,
              const std::optional<double>& right) {
  return left && (!right || *left < *right);
}

bool is_report_due(const RateLimit& limit, TimePoint now) {
  const bool is_over = !limit.per_second && now - limit.since > kEndReportTime;
  const bool is_due = limit.reports < kReportsAfterChange ||
                      now - limit.reported_at >= kReportInterval;
  return limit.confirmed_at != TimePoint{} && !is_over && is_due;
}

void Apply(RateLimit& limit,
           std::optional<double> per_second,
           TimePoint confirmed_at,
           TimePoint now) {
  // What was granted under a higher limit is no longer spent.
  if (is_lower(per_second, limit.per_second)) {
    limit.share.granted = 0;
  }
  limit.per_second = per_second;
  limit.confirmed_at = confirmed_at;
  limit.since = now;
  limit.reports = 0;
  limit.reported_at = {};
  if (!per_second) {
    // The number goes on, so that no late reply is taken for a later one.
    limit.share = {.request_number = limit.share.request_number};
    limit.allocator = {};
  }
}

}  // namespace

bool RecordRateLimit(RateLimit& limit,
                     const AnswerSignals& signals,
                     TimePoint sent_at,
                     TimePoint now) {
  if (signals.is_rate_limit_unreadable) {
    return false;
  }
  const bool is_named = signals.rate_limit.has_value();
  // The answer to an earlier request may have been written before the target
  // began to name its limit.
  if (!is_named && (!limit.per_second || sent_at <= limit.confirmed_at)) {
    return false;
  }
  if (limit.per_second == signals.rate_limit) {
    limit.confirmed_at = now;
    return false;
  }
  Apply(limit, signals.rate_limit, now, now);
  return true;
}

bool MergeRateLimit(RateLimit& limit,
                    std::optional<double> per_second,
                    TimePoint confirmed_at,
                    TimePoint now) {
  confirmed_at = std::min(confirmed_at, now);
  if (limit.per_second == per_second) {
    limit.confirmed_at = std::max(limit.confirmed_at, confirmed_at);
    return false;
  }
  const bool is_newer = confirmed_at > limit.confirmed_at + kOrderTolerance;
  const bool is_older = limit.confirmed_at > confirmed_at + kOrderTolerance;
  if (is_older || (!is_newer && !is_lower(per_second, limit.per_second))) {
    return false;
  }
  Apply(limit, per_second, confirmed_at, now);
  return true;
}

std::vector<std::string> TakeRateReports(TargetTable& table,
                                         size_t max_count,
                                         TimePoint now) {
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& [target, signals] : table.signals) {
    if (is_report_due(signals.rate_limit, now)) {
      due.emplace_back(signals.rate_limit.reported_at, target);
    }
  }
  std::ranges::sort(due);
  std::vector<std::string> taken;
  for (const auto& [reported_at, target] : due) {
    if (taken.size() == max_count) {
      break;
    }
    RateLimit& limit = table.signals[target].rate_limit;
    ++limit.reports;
    limit.reported_at = now;
    taken.push_back(target);
  }
  return taken;
}

RateVerdict AdmitByRate(RateLimit& limit, TimePoint now) {
  switch (limits::Spend(limit.share, kGrantSettings, 1, now).outcome) {
    case limits::SpendOutcome::kAdmit:
      return RateVerdict::kAdmitted;
    case limits::SpendOutcome::kRefuse:
      return RateVerdict::kHeldBack;
    case limits::SpendOutcome::kRequestGrant:
      return RateVerdict::kAskAllocator;
  }
  return RateVerdict::kHeldBack;
}

RateGrant GrantRate(RateLimit& limit,
                    double wanted,
                    const RateSharing& sharing,
                    TimePoint now) {
  limits::SetLimit(limit.allocator, kGrantSettings, GrantedRate(limit, now),
                   sharing.reached, sharing.all, now);
  RateGrant grant;
  grant.granted =
      limits::HandleGrantRequest(limit.allocator, wanted, sharing.reached, now);
  grant.retry_after = limits::RetryAfterOf(limit.allocator);
  return grant;
}

double StartRateRequest(RateLimit& limit, double pending, TimePoint now) {
  return limits::StartGrantRequest(limit.share, kGrantSettings, pending, now);
}

void HandleRateGrant(RateLimit& limit,
                     uint64_t number,
                     const RateGrant& grant,
                     const RateSharing& sharing,
                     TimePoint now) {
  if (!grant.is_allocator && limit.share.is_requesting &&
      limit.share.request_number == number) {
    HandleRateTimeout(limit, sharing, now);
    return;
  }
  limits::HandleGrant(limit.share, kGrantSettings, number, grant.granted,
                      grant.retry_after, now);
}

void HandleRateTimeout(RateLimit& limit,
                       const RateSharing& sharing,
                       TimePoint now) {
  limits::HandleGrantRequestTimeout(limit.share, kGrantSettings,
                                    LimitInForce(limit, now).value_or(0),
                                    sharing.all, now);
}

Duration RateRequestTimeout() {
  return kGrantSettings.request_timeout;
}

TimePoint RateHeldUntil(const RateLimit& limit, TimePoint now) {
  return LimitInForce(limit, now)
             ? limits::HeldUntil(limit.share, kGrantSettings, 1, now)
             : now;
}

void SetWarmUp(RateLimit& limit,
               double rate,
               TimePoint cold_until,
               TimePoint now) {
  const std::optional<double> before = LimitInForce(limit, now);
  limit.warm_up_rate = rate;
  limit.cold_until = cold_until;
  // What was granted under a higher limit is no longer spent, nor is a bucket
  // that filled up before there was one.
  if (is_lower(LimitInForce(limit, now), before)) {
    limit.share.granted = 0;
  }
  if (!before) {
    limit.share = {.request_number = limit.share.request_number};
    limit.allocator = {};
  }
}

std::optional<double> LimitInForce(const RateLimit& limit, TimePoint now) {
  const bool is_cold = limit.warm_up_rate > 0 && now < limit.cold_until;
  if (!is_cold) {
    return limit.per_second;
  }
  return std::min(limit.per_second.value_or(limit.warm_up_rate),
                  limit.warm_up_rate);
}

double GrantedRate(const RateLimit& limit, TimePoint now) {
  return std::max(LimitInForce(limit, now).value_or(0), kMinRate);
}

}  // namespace bramleyspan::gateway
