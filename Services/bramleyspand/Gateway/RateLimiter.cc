#include "Services/bramleyspand/Gateway/RateLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"

namespace bramleyspan::gatewayd {

namespace {

using gateway::RateLimit;
using gateway::RateVerdict;
using membership::wire::RateLimitReportT;
using telemetry::Log;
using telemetry::LogLevel;

// Reports in one heartbeat; the others follow in the next ones.
constexpr size_t kReportsPerHeartbeat = 8;
constexpr Duration kMaxAge = std::chrono::hours(24);

std::unique_ptr<RateLimitReportT> MakeReport(const std::string& target,
                                             const RateLimit& limit,
                                             TimePoint now) {
  auto report = std::make_unique<RateLimitReportT>();
  report->target = target;
  report->per_second = limit.per_second.value_or(-1);
  report->age_microseconds =
      static_cast<uint64_t>((now - limit.confirmed_at).count());
  return report;
}

}  // namespace

std::string RateLimiter::AllocatorOf(const std::string& target) const {
  const TimePoint now = EventLoop::Now();
  std::vector<std::string> names;
  if (this->state.table != nullptr && !this->state.is_draining()) {
    names.push_back(this->state.settings.name);
  }
  for (const auto* known : membership::LiveGateways(this->state.members, now)) {
    if (known->member.grants_rates) {
      names.push_back(known->member.name);
    }
  }
  return limits::AllocatorOf(target, names);
}

gateway::RateSharing RateLimiter::Sharing(TimePoint now) const {
  return {.reached = SharingOf(this->state, now).gateways,
          .all = membership::CountGateways(this->state.members, now)};
}

RateLimit* RateLimiter::FindLimit(const std::string& target) {
  auto& signals = this->state.targets.signals;
  const auto found = signals.find(target);
  return found == signals.end() ? nullptr : &found->second.rate_limit;
}

RateLimiter::Verdict RateLimiter::Admit(const std::string& target,
                                        OnReply on_reply) {
  RateLimit* limit = this->FindLimit(target);
  const TimePoint now = EventLoop::Now();
  if (limit == nullptr || !gateway::LimitInForce(*limit, now)) {
    return Verdict::kAdmitted;
  }
  RateVerdict verdict = gateway::AdmitByRate(*limit, now);
  if (verdict == RateVerdict::kAskAllocator) {
    const std::string allocator = this->AllocatorOf(target);
    if (!allocator.empty() && allocator != this->state.settings.name) {
      this->waiting[target].push_back(std::move(on_reply));
      this->AskAllocator(target, allocator, *limit);
      return Verdict::kPending;
    }
    const double wanted = gateway::StartRateRequest(*limit, 1, now);
    gateway::HandleRateGrant(
        *limit, limit->share.request_number,
        gateway::GrantRate(*limit, wanted, this->Sharing(now), now),
        this->Sharing(now), now);
    verdict = gateway::AdmitByRate(*limit, now);
  }
  return verdict == RateVerdict::kAdmitted ? Verdict::kAdmitted
                                           : Verdict::kHeldBack;
}

void RateLimiter::AskAllocator(const std::string& target,
                               const std::string& allocator,
                               RateLimit& limit) {
  const auto found = this->state.members.known.find(allocator);
  if (limit.share.is_requesting || found == this->state.members.known.end()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  membership::wire::RateRequestT request;
  request.wanted = gateway::StartRateRequest(
      limit, static_cast<double>(this->waiting[target].size()), now);
  request.number = limit.share.request_number;
  request.limit = MakeReport(target, limit, now);
  const uint64_t number = request.number;
  this->send(found->second.member.ip, membership::Encode(std::move(request)));
  this->state.loop.RunAfter(
      gateway::RateRequestTimeout(),
      [this, target, number] { this->HandleTimeout(target, number); });
}

void RateLimiter::HandleRequest(const std::string& from_ip,
                                const membership::wire::RateRequestT& request) {
  if (request.limit == nullptr || !std::isfinite(request.wanted)) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  const std::string& target = request.limit->target;
  this->HandleReport(*request.limit);
  RateLimit* limit = this->FindLimit(target);
  membership::wire::RateGrantT reply;
  reply.number = request.number;
  reply.is_allocator = this->AllocatorOf(target) == this->state.settings.name;
  const bool has_limit =
      limit != nullptr && gateway::LimitInForce(*limit, now).has_value();
  // The requester takes the target for cold, and this gateway does not: one of
  // them has an older record. The requester uses its even share.
  const bool is_named_there = request.limit->per_second >= 0;
  reply.is_allocator = reply.is_allocator && (has_limit || is_named_there);
  if (has_limit && reply.is_allocator) {
    const gateway::RateGrant grant =
        gateway::GrantRate(*limit, request.wanted, this->Sharing(now), now);
    reply.granted = grant.granted;
    reply.retry_after_microseconds =
        static_cast<uint64_t>(grant.retry_after.count());
  }
  reply.limit = limit != nullptr ? MakeReport(target, *limit, now)
                                 : std::make_unique<RateLimitReportT>();
  reply.limit->target = target;
  this->send(from_ip, membership::Encode(std::move(reply)));
}

void RateLimiter::HandleGrant(const membership::wire::RateGrantT& grant) {
  if (grant.limit == nullptr || !std::isfinite(grant.granted)) {
    return;
  }
  const std::string target = grant.limit->target;
  const TimePoint now = EventLoop::Now();
  this->HandleReport(*grant.limit);
  RateLimit* limit = this->FindLimit(target);
  if (limit == nullptr) {
    return;
  }
  gateway::HandleRateGrant(
      *limit, grant.number,
      {.is_allocator = grant.is_allocator,
       .granted = grant.granted,
       .retry_after =
           Duration(static_cast<int64_t>(grant.retry_after_microseconds))},
      this->Sharing(now), now);
  this->CallWaiting(target);
}

void RateLimiter::HandleTimeout(const std::string& target, uint64_t number) {
  RateLimit* limit = this->FindLimit(target);
  const bool is_outstanding = limit != nullptr && limit->share.is_requesting &&
                              limit->share.request_number == number;
  if (is_outstanding) {
    const TimePoint now = EventLoop::Now();
    gateway::HandleRateTimeout(*limit, this->Sharing(now), now);
    Log(LogLevel::kInfo, "targets", "rate_request_unanswered",
        {{"target", target}, {"allocator", this->AllocatorOf(target)}});
  }
  // If the limit ended meanwhile, no question is outstanding, but requests may
  // still wait for its reply.
  this->CallWaiting(target);
}

void RateLimiter::CallWaiting(const std::string& target) {
  const auto node = this->waiting.extract(target);
  if (node.empty()) {
    return;
  }
  for (const OnReply& on_reply : node.mapped()) {
    on_reply();
  }
}

void RateLimiter::HandleReport(const RateLimitReportT& report) {
  const TimePoint now = EventLoop::Now();
  const bool is_named = report.per_second >= 0;
  auto& signals = this->state.targets.signals;
  const bool is_known = signals.contains(report.target);
  if (report.target.empty() || !std::isfinite(report.per_second) ||
      (!is_known && !is_named)) {
    return;
  }
  RateLimit& limit = signals[report.target].rate_limit;
  const RateLimit before = limit;
  const Duration age(static_cast<int64_t>(
      std::min<uint64_t>(report.age_microseconds, kMaxAge.count())));
  const bool is_changed = gateway::MergeRateLimit(
      limit, is_named ? std::optional<double>(report.per_second) : std::nullopt,
      now - age, now);
  if (is_changed) {
    this->state.signals->LogRateLimit(report.target, before, "peer");
  }
}

std::vector<std::unique_ptr<RateLimitReportT>> RateLimiter::ReportsToSend() {
  const TimePoint now = EventLoop::Now();
  std::vector<std::unique_ptr<RateLimitReportT>> reports;
  gateway::TargetTable& targets = this->state.targets;
  for (const std::string& target :
       gateway::TakeRateReports(targets, kReportsPerHeartbeat, now)) {
    reports.push_back(
        MakeReport(target, targets.signals.at(target).rate_limit, now));
  }
  return reports;
}

}  // namespace bramleyspan::gatewayd
