#include "Services/bramleyspand/Gateway/Forwarding.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/UsageKeeping.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kGatewayTimeout;
using detail::kNotFound;
using detail::kUnauthorized;
using detail::kUnavailable;
using detail::Text;
using gateway::Outcome;
using http::CallEnd;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

// Connections that may fail before the request is given up.
constexpr int kMostUnreached = 4;
// Where a caller names no time.
constexpr Duration kUsualTime = std::chrono::seconds(2);

// Requests without a key or a route are counted under this name.
constexpr std::string_view kNobody = "-";

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

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t value = 0;
  const auto [stop, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc{} || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

gateway::Sharing SharingOf(const GatewayState& state, TimePoint now) {
  gateway::Sharing sharing;
  for (const auto* other : membership::LiveEntries(state.members, now)) {
    ++sharing.gateways;
    sharing.hungry_others += other->member.is_hungry ? 1 : 0;
  }
  return sharing;
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
  const auto left = ParseNumber(
      FindHeader(this->request.headers, this->state.adapter.headers.deadline));
  Duration allowed = this->route->timeout;
  if (left && *left > 0) {
    allowed = std::min<Duration>(allowed, std::chrono::milliseconds(*left));
  }
  this->deadline = this->arrived + allowed;
  const bool is_resuming =
      !FindHeader(this->request.headers, this->state.adapter.headers.last_event)
           .empty();
  this->is_returning =
      gateway::NotePatience(this->state.patience[this->route->name], allowed,
                            this->arrived) ||
      is_resuming;
  this->wait = gateway::PlanWait({.is_streaming = this->is_streaming(),
                                  .is_returning = this->is_returning,
                                  .objective = this->route->objective,
                                  .allowed = allowed,
                                  .silence = this->route->patience},
                                 this->arrived);
  gateway::NoteRequest(this->state.repeats, this->service, this->arrived);
  this->exchange->OnDisconnect([self = this->weak_from_this()] {
    if (const auto forwarding = self.lock()) {
      forwarding->HandleGone();
    }
  });
  this->deadline_timer = this->state.loop.RunAfter(
      allowed, [self = this->shared_from_this()] { self->HandleDeadline(); });
  Log(LogLevel::kInfo, "forward", "accepted",
      {{"request", this->id},
       {"route", this->route->name},
       {"service", this->service},
       {"tenant", this->tenant},
       {"table_version", std::to_string(this->table->version)},
       {"left_ms", Text(allowed)},
       {"is_returning", this->is_returning ? "true" : "false"}});
  this->SendOrWait();
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
  this->priority = this->route->priority;
  if (!this->is_allowed_by_key()) {
    this->Refuse(kUnauthorized, "no tenant holds this key", false);
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
    this->priority = found->second.priority.value_or(this->priority);
    return true;
  }
  return !this->table->has_tenants || this->route->is_public;
}

bool Forwarding::TryAgain(std::string_view cause, bool has_arrived) {
  const TimePoint now = EventLoop::Now();
  constexpr Duration kLeastLeft = std::chrono::milliseconds(20);
  if (now + kLeastLeft > this->deadline || this->exchange->is_closed()) {
    return false;
  }
  // Only targets that the request was sent to count against the route's
  // bound: an unreached one has nothing of it.
  const auto reached = static_cast<int>(this->tried.size()) - this->unreached;
  if (reached >= this->route->most_targets ||
      this->unreached > kMostUnreached) {
    return false;
  }
  const size_t gateways = membership::CountEntries(this->state.members, now);
  if (has_arrived &&
      !gateway::TakeRepeat(this->state.repeats, this->service, gateways, now)) {
    Log(LogLevel::kWarning, "forward", "no_budget", {{"request", this->id}});
    return false;
  }
  Log(LogLevel::kInfo, "forward", "sent_once_more",
      {{"request", this->id}, {"cause", std::string(cause)}});
  telemetry::Count(kRepeats, {{"service", this->service}});
  const gateway::Wait once_more = gateway::PlanWait(
      {.objective = this->route->objective, .allowed = this->deadline - now},
      now);
  this->wait.ends = std::max(this->wait.ends, once_more.ends);
  if (!this->TrySend()) {
    this->Wait(true);
  }
  return true;
}

void Forwarding::Refuse(int status, std::string_view cause, bool says_when) {
  http::HeaderList headers;
  if (says_when) {
    headers.emplace_back("retry-after", this->RetryAfter());
  }
  Log(LogLevel::kWarning, "forward", "refused",
      {{"request", this->id},
       {"status", std::to_string(status)},
       {"cause", std::string(cause)},
       {"path", this->request.path},
       {"waiting", std::to_string(this->state.waiting.size())},
       {"table_version",
        std::to_string(this->table == nullptr ? 0 : this->table->version)}});
  this->exchange->Respond(status, headers, "");
  this->Finish("refused", status);
}

Duration Forwarding::TimeLeft() const {
  if (this->deadline != TimePoint{}) {
    return this->deadline - EventLoop::Now();
  }
  const auto left = ParseNumber(
      FindHeader(this->request.headers, this->state.adapter.headers.deadline));
  return left ? std::chrono::milliseconds(*left) : kUsualTime;
}

gateway::Obstacle Forwarding::FindObstacle() const {
  if (this->table == nullptr) {
    return this->state.table_feed->is_reached() ? gateway::Obstacle::kStarting
                                                : gateway::Obstacle::kStoreAway;
  }
  const bool is_closed =
      this->has_engine() &&
      !gateway::is_any_open(this->state.targets, this->service);
  return this->sent > 0 && !is_closed ? gateway::Obstacle::kRejected
                                      : gateway::Obstacle::kNoPlace;
}

std::string Forwarding::RetryAfter() const {
  const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
      gateway::ReturnAfter(this->FindObstacle(), this->TimeLeft()));
  constexpr int64_t kMillisecondsPerSecond = 1000;
  std::string fraction = std::to_string(after.count() % kMillisecondsPerSecond);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(after.count() / kMillisecondsPerSecond) + "." +
         fraction;
}

void Forwarding::Fail(int status, std::string_view cause) {
  Log(LogLevel::kWarning, "forward", "failed",
      {{"request", this->id},
       {"status", std::to_string(status)},
       {"target", this->target_id},
       {"cause", std::string(cause)}});
  this->exchange->Respond(status, {}, "");
  this->Finish("failed", status);
}

void Forwarding::BreakOff(std::string_view cause) {
  Log(LogLevel::kWarning, "forward", "broken_off",
      {{"request", this->id},
       {"target", this->target_id},
       {"cause", std::string(cause)}});
  this->exchange->Abort();
  this->Finish("broken_off", kBadGateway);
}

void Forwarding::Finish(std::string_view outcome, int status) {
  if (std::exchange(this->is_finished, true)) {
    return;
  }
  this->StopTimers();
  this->state.waiting.remove(this->shared_from_this());
  const Duration took = EventLoop::Now() - this->arrived;
  this->CountUsage(outcome);
  telemetry::Count(kRequests, {{"service", this->service},
                               {"outcome", std::string(outcome)}});
  telemetry::Observe(kRequestTime, {{"service", this->service}}, took);
  Log(LogLevel::kInfo, "forward", "ended",
      {{"request", this->id},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status)},
       {"group", this->group},
       {"first_event_ms", Text(this->first_event_after)},
       {"longest_pause_ms", Text(this->longest_pause)},
       {"took_ms", Text(took)}});
}

void Forwarding::CountUsage(std::string_view outcome) const {
  if (this->state.usage == nullptr) {
    return;
  }
  const auto tokens_in = ParseNumber(
      FindHeader(this->request.headers, this->state.adapter.headers.tokens));
  this->state.usage->Count(
      {.owner = this->tenant.empty() ? std::string(kNobody) : this->tenant,
       .entry =
           this->route == nullptr ? std::string(kNobody) : this->route->name,
       .service = this->service},
      usage::Settle(
          this->meter, EndingOf(outcome),
          static_cast<uint64_t>(std::max<int64_t>(0, tokens_in.value_or(0)))));
}

uint64_t Forwarding::TokensPerEvent() const {
  const auto found = this->table->services.find(this->service);
  const bool has_engine =
      found != this->table->services.end() && found->second.engine;
  return has_engine ? found->second.engine->stride : 1;
}

// The request has nothing at its target any more, whatever came of it.
void Forwarding::LeaveTarget(Outcome outcome) {
  this->SettlePlace();
  if (this->target_id.empty()) {
    return;
  }
  usage::NoteLeft(this->meter, EventLoop::Now());
  const auto found = this->state.targets.by_id.find(this->target_id);
  if (found != this->state.targets.by_id.end() && found->second.open > 0) {
    --found->second.open;
  }
  gateway::NoteOutcome(this->state.targets, this->target_id, outcome,
                       EventLoop::Now());
  this->target_id.clear();
  this->state.loop.RunAfter(Duration(0),
                            [&state = this->state] { ServeWaiting(state); });
}

void Forwarding::HandleGone() {
  auto keep_until_return = this->shared_from_this();
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  this->LeaveTarget(Outcome::kGood);
  this->Finish("caller_left", 0);
}

void Forwarding::HandleDeadline() {
  this->deadline_timer = 0;
  if (this->is_finished) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  const std::string last_target = this->target_id;
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  this->LeaveTarget(Outcome::kGood);
  if (this->has_started_answer) {
    this->BreakOff("out of time");
  } else if (this->may_have_run) {
    this->target_id = last_target;
    this->Fail(kGatewayTimeout, "out of time");
    this->target_id.clear();
  } else {
    this->Refuse(kUnavailable, "out of time", true);
  }
}

void Forwarding::ArmSilence(Duration after) {
  this->state.loop.Cancel(this->silence_timer);
  this->silence_timer = this->state.loop.RunAfter(
      after, [self = this->shared_from_this()] { self->HandleSilence(); });
}

void Forwarding::HandleSilence() {
  this->silence_timer = 0;
  if (this->is_finished || this->call == nullptr ||
      !this->route->is_repeatable()) {
    return;
  }
  // Only a repeatable request is taken away from a silent target.
  std::exchange(this->call, nullptr)->Cancel();
  this->HandleFailed(CallEnd::kTimeout);
}

void Forwarding::StopTimers() {
  this->state.loop.Cancel(std::exchange(this->deadline_timer, 0));
  this->state.loop.Cancel(std::exchange(this->silence_timer, 0));
}

}  // namespace bramleyspan::gatewayd
