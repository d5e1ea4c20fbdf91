#include "Services/bramleyspand/Gateway/Forwarding.h"

#include <algorithm>
#include <utility>

#include "LibGateway/PromptParts.h"
#include "LibGateway/RequestDigest.h"
#include "LibGateway/TokenCounts.h"
#include "LibHTTP/HeaderValues.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/Repeats.h"
#include "Services/bramleyspand/Gateway/UsageRecorder.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kGatewayTimeout;
using detail::kNotFound;
using detail::kUnauthorized;
using detail::kUnavailable;
using detail::ToMillisecondsText;
using gateway::Outcome;
using http::CallEnd;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

// Connections that may fail before the request is refused.
constexpr int kMaxFailedConnections = 4;
// Time left of a caller that announces none.
constexpr Duration kDefaultTimeLeft = std::chrono::seconds(2);

// Name under which usage without a tenant or a route is counted.
constexpr std::string_view kUnknownName = "-";

usage::Ending EndingOf(std::string_view outcome) {
  if (outcome == "answered") {
    return usage::Ending::kAnswered;
  }
  if (outcome == "refused") {
    return usage::Ending::kRefused;
  }
  return outcome == "caller_left" ? usage::Ending::kCancelled
                                  : usage::Ending::kFailed;
}

}  // namespace

gateway::Sharing SharingOf(const GatewayState& state, TimePoint now) {
  gateway::Sharing sharing;
  for (const auto* other : membership::LiveGateways(state.members, now)) {
    ++sharing.gateways;
    sharing.others_waiting += other->member.is_hungry ? 1 : 0;
  }
  return sharing;
}

bool has_other_gateways(const GatewayState& state, TimePoint now) {
  return SharingOf(state, now).gateways > 1;
}

void HandleCaller(GatewayState& state,
                  http::IngressRequest request,
                  const std::shared_ptr<http::IngressExchange>& exchange) {
  state.last_request = EventLoop::Now();
  auto forwarding =
      std::make_shared<Forwarding>(state, std::move(request), exchange);
  forwarding->Start();
}

Forwarding::Forwarding(GatewayState& state,
                       http::IngressRequest request,
                       std::shared_ptr<http::IngressExchange> exchange)
    : state(state),
      number(++state.last_forwarding),
      request(std::move(request)),
      body(std::make_shared<const std::string>(
          std::exchange(this->request.body, {}))),
      exchange(std::move(exchange)),
      arrived(EventLoop::Now()) {
  this->state.open.emplace(this->number, this);
  this->meter.arrived = this->arrived;
}

Forwarding::~Forwarding() {
  this->state.open.erase(this->number);
}

void Forwarding::Start() {
  this->id = std::string(
      FindHeader(this->request.headers, this->state.adapter.headers.attempt));
  this->table = this->state.table;
  if (!this->FindRouteAndTenant()) {
    return;
  }
  this->service = gateway::PickService(
      *this->route,
      std::uniform_real_distribution<double>(0, 1)(this->state.random));
  const std::string_view parts_list =
      FindHeader(this->request.headers, this->state.adapter.headers.parts);
  this->marks = {.service = this->service,
                 .parts = gateway::ParseSharedParts(parts_list),
                 .digest = gateway::DigestOf({.tenant = this->tenant,
                                              .method = this->request.method,
                                              .target = this->request.target,
                                              .parts = parts_list,
                                              .body = *this->body})};
  const auto left = http::ParseMilliseconds(
      FindHeader(this->request.headers, this->state.adapter.headers.deadline));
  Duration allowed = this->route->timeout;
  if (left && *left > Duration(0)) {
    allowed = std::min(allowed, *left);
  }
  this->deadline = this->arrived + allowed;
  const bool is_resuming =
      !FindHeader(this->request.headers, this->state.adapter.headers.last_event)
           .empty();
  this->is_retry =
      gateway::RecordWaitBudget(this->state.wait_budgets[this->route->name],
                                allowed, this->arrived) ||
      is_resuming;
  this->wait = gateway::PlanWait({.is_streaming = this->is_streaming(),
                                  .is_retry = this->is_retry,
                                  .objective = this->route->objective,
                                  .allowed = allowed,
                                  .event_timeout = this->route->event_timeout},
                                 this->arrived);
  this->state.repeats->RecordRequest(this->service);
  this->exchange->OnDisconnect([self = this->weak_from_this()] {
    if (const auto forwarding = self.lock()) {
      forwarding->HandleCallerGone();
    }
  });
  this->deadline_timer = this->state.loop.RunAfter(
      allowed, [self = this->shared_from_this()] { self->HandleDeadline(); });
  Log(LogLevel::kInfo, "forward", "accepted",
      {{"request", this->id},
       {"route", this->route->name},
       {"service", this->service},
       {"tenant", this->tenant},
       {"digest", this->marks.digest},
       {"priority", std::to_string(this->priority)},
       {"table_version", std::to_string(this->table->version)},
       {"left_ms", ToMillisecondsText(allowed)},
       {"is_returning", this->is_retry ? "true" : "false"}});
  if (!this->EndIfQuarantined()) {
    this->SendOrWait();
  }
}

bool Forwarding::FindRouteAndTenant() {
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, "no desired state known", true);
    return false;
  }
  this->route =
      gateway::FindRoute(*this->table, this->request.host, this->request.path);
  if (this->route == nullptr) {
    this->Refuse(kNotFound, "no such route", false);
    return false;
  }
  this->priority =
      gateway::CombinedPriority(std::nullopt, this->route->priority);
  if (!this->is_allowed_by_key()) {
    this->Refuse(kUnauthorized, "no tenant has this key", false);
    return false;
  }
  return true;
}

bool Forwarding::is_allowed_by_key() {
  const std::string_view key =
      FindHeader(this->request.headers, this->state.adapter.headers.key);
  const auto found = this->table->tenants_by_key.find(std::string(key));
  if (found != this->table->tenants_by_key.end() && !key.empty()) {
    this->tenant = found->second.name;
    this->priority = gateway::CombinedPriority(found->second.priority,
                                               this->route->priority);
    return true;
  }
  return !this->table->has_tenants || this->route->is_public;
}

bool Forwarding::TryRepeat(std::string_view cause, bool has_reached_target) {
  const TimePoint now = EventLoop::Now();
  constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);
  if (now + kMinTimeLeft > this->deadline || this->exchange->is_closed() ||
      !gateway::may_go_on(this->caller) || !this->can_end_before_stop()) {
    return false;
  }
  // Only targets that the request was sent to count towards the route's limit;
  // a failed connection carried nothing.
  const auto reached =
      static_cast<int>(this->tried.size()) - this->failed_connections;
  if (reached >= this->route->max_targets ||
      this->failed_connections > kMaxFailedConnections) {
    return false;
  }
  const gateway::Wait repeat_wait = gateway::PlanWait(
      {.objective = this->route->objective, .allowed = this->deadline - now},
      now);
  this->wait.ends = std::max(this->wait.ends, repeat_wait.ends);
  const auto held_back_until = this->HeldBackUntil(this->tried);
  if (held_back_until && *held_back_until > this->wait.ends) {
    return false;
  }
  if (has_reached_target && !this->has_reserved_repeat) {
    this->has_reserved_repeat =
        this->state.repeats->Reserve(this->id, this->service, cause);
    if (!this->has_reserved_repeat) {
      return false;
    }
    this->repeat_reserved_at = now;
  }
  if (!has_reached_target) {
    Log(LogLevel::kInfo, "forward", "sent_once_more",
        {{"request", this->id}, {"cause", std::string(cause)}});
    telemetry::Count(kRepeats, {{"service", this->service}});
  }
  if (!this->TrySend()) {
    this->Wait(true);
  }
  return true;
}

Duration Forwarding::TimeLeft() const {
  if (this->deadline != TimePoint{}) {
    return this->deadline - EventLoop::Now();
  }
  return http::ParseMilliseconds(
             FindHeader(this->request.headers,
                        this->state.adapter.headers.deadline))
      .value_or(kDefaultTimeLeft);
}

void Forwarding::Finish(std::string_view outcome, int status) {
  if (this->is_finished) {
    return;
  }
  if (outcome == "answered") {
    this->RecordWholeRun();
  } else {
    this->RecordPartialRun();
  }
  this->is_finished = true;
  this->StopTimers();
  this->witness = nullptr;
  this->DropAnswer();
  this->state.waiting.remove(this->shared_from_this());
  if (std::exchange(this->has_reserved_repeat, false)) {
    this->state.repeats->Release(this->service);
  }
  const Duration took = EventLoop::Now() - this->arrived;
  this->CountUsage(outcome);
  this->LogIfLate();
  telemetry::Count(kRequests, {{"service", this->service},
                               {"outcome", std::string(outcome)}});
  telemetry::Observe(kRequestTime, {{"service", this->service}}, took);
  Log(LogLevel::kInfo, "forward", "ended",
      {{"request", this->id},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status)},
       {"group", this->group},
       {"first_event_ms", ToMillisecondsText(this->first_event_after)},
       {"longest_pause_ms", ToMillisecondsText(this->longest_pause)},
       {"took_ms", ToMillisecondsText(took)}});
}

void Forwarding::LogIfLate() const {
  if (!this->caller.has_begun) {
    return;
  }
  const bool is_first_event = this->first_event_after > this->route->objective;
  const bool is_pause = this->longest_pause > this->route->longest_pause;
  if (!is_first_event && !is_pause) {
    return;
  }
  const TimePoint at = is_first_event ? this->arrived + this->first_event_after
                                      : this->longest_pause_ended;
  const Duration took =
      is_first_event ? this->first_event_after : this->longest_pause;
  Log(LogLevel::kInfo, "forward", "late",
      {{"request", this->id},
       {"what", is_first_event ? "first_event" : "pause"},
       {"group", this->group},
       {"ago_ms", ToMillisecondsText(EventLoop::Now() - at)},
       {"late_ms", ToMillisecondsText(took)},
       {"waited_ms", ToMillisecondsText(this->waited)},
       {"attempts", std::to_string(this->tried.size())}});
}

void Forwarding::CountUsage(std::string_view outcome) const {
  if (this->state.usage == nullptr) {
    return;
  }
  const auto tokens = gateway::ParseTokenCounts(
      FindHeader(this->request.headers, this->state.adapter.headers.tokens));
  this->state.usage->Count(
      {.owner = this->tenant.empty() ? std::string(kUnknownName) : this->tenant,
       .entry = this->route == nullptr ? std::string(kUnknownName)
                                       : this->route->name,
       .service = this->service},
      usage::FinalCounts(this->meter, EndingOf(outcome),
                         tokens.value_or(gateway::TokenCounts{}).prompt));
}

uint64_t Forwarding::TokensPerEvent() const {
  const auto found = this->table->services.find(this->service);
  const bool has_engine =
      found != this->table->services.end() && found->second.engine;
  return has_engine ? found->second.engine->stride : 1;
}

// Also called if the request never had a target.
void Forwarding::ReleaseTarget(Outcome outcome) {
  this->SettlePermit();
  if (this->target_id.empty()) {
    return;
  }
  usage::RecordAttemptEnd(this->meter, EventLoop::Now());
  const auto found = this->state.targets.by_id.find(this->target_id);
  if (found != this->state.targets.by_id.end() && found->second.open > 0) {
    --found->second.open;
  }
  gateway::RecordOutcome(this->state.targets, this->target_id, outcome,
                         EventLoop::Now());
  this->target_id.clear();
  this->state.loop.RunAfter(Duration(0),
                            [&state = this->state] { ServeWaiting(state); });
}

void Forwarding::HandleDeadline() {
  this->deadline_timer = 0;
  if (this->is_finished) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  this->ReleaseTarget(Outcome::kGood);
  this->EndUnserved({.cause = "deadline exceeded",
                     .may_have_run = this->may_have_run,
                     .status_if_run = kGatewayTimeout});
}

void Forwarding::ArmAttemptTimer(Duration after) {
  this->state.loop.Cancel(this->attempt_timer);
  this->attempt_timer = this->state.loop.RunAfter(
      after,
      [self = this->shared_from_this()] { self->HandleAttemptTimeout(); });
}

void Forwarding::HandleAttemptTimeout() {
  this->attempt_timer = 0;
  if (this->is_finished || this->call == nullptr ||
      !this->route->is_repeatable()) {
    return;
  }
  // Only a repeatable request is moved away from an unresponsive target.
  std::exchange(this->call, nullptr)->Cancel();
  this->HandleFailed(CallEnd::kTimeout);
}

void Forwarding::StopTimers() {
  this->state.loop.Cancel(std::exchange(this->deadline_timer, 0));
  this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
}

}  // namespace bramleyspan::gatewayd
