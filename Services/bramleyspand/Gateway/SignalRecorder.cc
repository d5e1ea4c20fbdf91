#include "Services/bramleyspand/Gateway/SignalRecorder.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "LibGateway/RateLimits.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/RateLimiter.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

void SignalRecorder::RecordAnswer(const std::string& target,
                                  const http::AnswerHead& head,
                                  TimePoint sent_at) {
  const gateway::CallHeaders& names = this->state.adapter.headers;
  const gateway::AnswerSignals signals =
      gateway::ParseSignals(names, head.status, head.headers);
  this->RecordBackoff(target, signals, sent_at);
  if (signals.is_leaving &&
      gateway::RecordLeaving(this->state.targets, target, EventLoop::Now())) {
    Log(LogLevel::kInfo, "targets", "leaving_announced",
        {{"target", target}, {"service", this->ServiceOf(target)}});
  }
  if (signals.is_rate_limit_unreadable) {
    Log(LogLevel::kWarning, "targets", "rate_limit_unreadable",
        {{"target", target},
         {"value",
          std::string(http::FindHeader(head.headers, names.rate_limit))}});
  }
  auto& known = this->state.targets.signals;
  if (!signals.rate_limit && !known.contains(target)) {
    return;
  }
  gateway::RateLimit& limit = known[target].rate_limit;
  const gateway::RateLimit before = limit;
  if (gateway::RecordRateLimit(limit, signals, sent_at, EventLoop::Now())) {
    this->LogRateLimit(target, before, "answer");
    this->on_change();
  }
}

void SignalRecorder::RecordBackoff(const std::string& target,
                                   const gateway::AnswerSignals& signals,
                                   TimePoint sent_at) {
  if (signals.is_backoff_unreadable) {
    Log(LogLevel::kWarning, "targets", "backoff_unreadable",
        {{"target", target}});
  }
  const TimePoint now = EventLoop::Now();
  if (!signals.backoff) {
    const auto found = this->state.targets.signals.find(target);
    if (found != this->state.targets.signals.end() &&
        limits::RecordAnswerAfterBackoff(found->second.backoff, sent_at)) {
      Log(LogLevel::kInfo, "targets", "backoff_ended",
          {{"target", target},
           {"service", this->ServiceOf(target)},
           {"after_ms", Milliseconds(now - found->second.backoff.since)}});
    }
    return;
  }
  limits::Backoff& backoff = this->state.targets.signals[target].backoff;
  if (limits::RecordBackoff(backoff, *signals.backoff, now)) {
    Log(LogLevel::kWarning, "targets", "backoff_began",
        {{"target", target},
         {"service", this->ServiceOf(target)},
         {"for_ms", Milliseconds(backoff.until - now)}});
  }
}

void SignalRecorder::LogRateLimit(const std::string& target,
                                  const gateway::RateLimit& before,
                                  std::string_view heard_from) const {
  const gateway::RateLimit& limit =
      this->state.targets.signals.at(target).rate_limit;
  if (limit.per_second) {
    Log(LogLevel::kWarning, "targets", "rate_limit_named",
        {{"target", target},
         {"service", this->ServiceOf(target)},
         {"per_second", std::to_string(*limit.per_second)},
         {"heard_from", std::string(heard_from)}});
  } else if (before.per_second) {
    Log(LogLevel::kInfo, "targets", "rate_limit_ended",
        {{"target", target},
         {"service", this->ServiceOf(target)},
         {"after_ms", Milliseconds(limit.since - before.since)},
         {"heard_from", std::string(heard_from)}});
  }
}

std::string SignalRecorder::ServiceOf(const std::string& target) const {
  const auto found = this->state.targets.by_id.find(target);
  return found == this->state.targets.by_id.end()
             ? std::string()
             : found->second.target.service;
}

void SignalRecorder::RecordSent(const std::string& target,
                                const std::string& service) {
  const auto found = this->state.targets.signals.find(target);
  if (found == this->state.targets.signals.end()) {
    return;
  }
  limits::RecordSentAfterBackoff(found->second.backoff, EventLoop::Now());
  if (gateway::LimitInForce(found->second.rate_limit, EventLoop::Now())) {
    telemetry::Count(kSentToLimited, {{"service", service}});
  }
}

void SignalRecorder::CountHeldBack(const std::string& service) const {
  const TimePoint now = EventLoop::Now();
  const bool is_any_backing_off =
      std::ranges::any_of(this->state.targets.signals, [&](const auto& item) {
        return limits::BackoffHeldUntil(item.second.backoff) > now &&
               this->ServiceOf(item.first) == service;
      });
  if (is_any_backing_off) {
    telemetry::Count(kHeldBack, {{"service", service}, {"by", "backoff"}});
  }
}

void SignalRecorder::UpdateGauges() const {
  const TimePoint now = EventLoop::Now();
  std::map<std::string, uint64_t> limited;
  std::map<std::string, uint64_t> backing_off;
  std::map<std::string, uint64_t> leaving;
  for (const auto& [id, view] : this->state.targets.by_id) {
    const auto found = this->state.targets.signals.find(id);
    const bool is_known = found != this->state.targets.signals.end();
    const bool is_limited =
        is_known &&
        gateway::LimitInForce(found->second.rate_limit, now).has_value();
    const bool is_backing_off = is_known && found->second.backoff.until > now;
    limited[view.target.service] += is_limited ? 1 : 0;
    backing_off[view.target.service] += is_backing_off ? 1 : 0;
    leaving[view.target.service] +=
        gateway::has_announced_leaving(this->state.targets, id) ? 1 : 0;
  }
  for (const auto& [service, count] : leaving) {
    telemetry::SetGauge(kLeavingTargets, {{"service", service}},
                        static_cast<double>(count));
  }
  for (const auto& [service, count] : backing_off) {
    telemetry::SetGauge(kBackingOffTargets, {{"service", service}},
                        static_cast<double>(count));
  }
  for (const auto& [service, count] : limited) {
    telemetry::SetGauge(kLimitedTargets, {{"service", service}},
                        static_cast<double>(count));
  }
}

nlohmann::json SignalRecorder::Dump(const std::string& target) const {
  const auto found = this->state.targets.signals.find(target);
  if (found == this->state.targets.signals.end()) {
    return nullptr;
  }
  const TimePoint now = EventLoop::Now();
  const gateway::RateLimit& limit = found->second.rate_limit;
  nlohmann::json dump;
  if (limit.per_second) {
    dump["rate_limit"] = {
        {"per_second", *limit.per_second},
        {"age_ms", (now - limit.since).count() / 1000},
        {"confirmed_ms", (now - limit.confirmed_at).count() / 1000},
        {"allocator", this->state.rate_limiter->AllocatorOf(target)},
        {"held_for_ms",
         (gateway::HeldUntil(this->state.targets, target, now) - now).count() /
             1000}};
  }
  if (limit.warm_up_rate > 0 && now < limit.cold_until) {
    dump["cold"] = {{"per_second", limit.warm_up_rate},
                    {"left_ms", (limit.cold_until - now).count() / 1000}};
  }
  const limits::Backoff& backoff = found->second.backoff;
  if (backoff.until > now) {
    dump["backoff"] = {{"left_ms", (backoff.until - now).count() / 1000},
                       {"age_ms", (now - backoff.since).count() / 1000}};
  }
  const gateway::Leaving& leaving = found->second.leaving;
  if (leaving.is_announced) {
    dump["leaving"] = {{"age_ms", (now - leaving.since).count() / 1000}};
  }
  return dump;
}

}  // namespace bramleyspan::gatewayd
