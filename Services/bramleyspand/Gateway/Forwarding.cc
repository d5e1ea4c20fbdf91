#include "Services/bramleyspand/Gateway/Forwarding.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::is_own_header;
using detail::kBadGateway;
using detail::kGatewayTimeout;
using detail::kNotFound;
using detail::kStreamSilence;
using detail::kUnauthorized;
using detail::kUnavailable;
using detail::Text;
using gateway::Outcome;
using gateway::RouteKind;
using gateway::TargetView;
using http::CallEnd;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

// A connection inside a region takes a millisecond or two.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// Connections that may fail before the request is given up.
constexpr int kMostUnreached = 4;
// The part of the objective after which the first event of a request without a
// place will come late.
constexpr int kWaitDivisor = 2;
constexpr Duration kLongestWait = std::chrono::milliseconds(500);
// The part of a caller's patience for which a late stream waits for a place. It
// is worth less than one in time and more than a refusal.
constexpr double kPatiencePart = 0.7;
// Agents that had no place are not asked again at once.
constexpr Duration kFullPause = std::chrono::milliseconds(12);
// When a place may be free again: streams last for seconds, and a caller that
// comes back into the same crowd is refused for good. The part of the time
// left leaves enough for the second attempt.
constexpr int kRetryAfterDivisor = 4;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr std::string_view kRetryAfterStart = "0.5";
constexpr std::string_view kRetryAfterRejection = "0.2";

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

void ServeWaiting(GatewayState& state) {
  const TimePoint now = EventLoop::Now();
  state.waiting.sort([now](const auto& left, const auto& right) {
    return left->is_before(*right, now);
  });
  // A copy, since each that is sent or refused leaves the list.
  const auto waiting = state.waiting;
  std::set<std::pair<std::string, bool>> full;
  for (const auto& forwarding : waiting) {
    const std::pair kind(forwarding->service_name(), forwarding->is_late(now));
    const bool is_sent = !full.contains(kind) && forwarding->TrySend();
    if (is_sent || forwarding->is_asking()) {
      continue;
    }
    full.insert(kind);
    if (forwarding->waits_until() <= now) {
      forwarding->RefuseForLackOfPlace();
    }
  }
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
  this->late_from =
      this->arrived + std::min({this->route->objective / kWaitDivisor,
                                allowed / 2, kLongestWait});
  this->wait_ends = this->late_from;
  if (this->is_streaming()) {
    this->wait_ends =
        this->arrived +
        std::min(allowed / 2, std::chrono::duration_cast<Duration>(
                                  this->route->patience * kPatiencePart));
  }
  gateway::NoteRequest(this->state.repeats, this->service, this->arrived);
  this->exchange->OnGone([self = this->weak_from_this()] {
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
       {"left_ms", Text(allowed)}});
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

bool Forwarding::is_late(TimePoint now) const {
  return this->is_streaming() &&
         (this->has_started_answer || now >= this->late_from);
}

// The more urgent first; then those that can still be in time.
bool Forwarding::is_before(const Forwarding& other, TimePoint now) const {
  if (this->priority != other.priority) {
    return this->priority < other.priority;
  }
  return !this->is_late(now) && other.is_late(now);
}

void Forwarding::SendOrWait() {
  const auto& waiting = this->state.waiting;
  const TimePoint now = EventLoop::Now();
  const bool is_first =
      std::none_of(waiting.begin(), waiting.end(), [&](const auto& other) {
        return other->service == this->service && !other->is_asking() &&
               !this->is_before(*other, now);
      });
  if (is_first && this->TrySend()) {
    return;
  }
  if (now >= this->wait_ends) {
    this->RefuseForLackOfPlace();
    return;
  }
  this->Wait(false);
}

void Forwarding::Wait(bool is_in_front) {
  auto& waiting = this->state.waiting;
  const TimePoint now = EventLoop::Now();
  const auto self = this->shared_from_this();
  if (std::find(waiting.begin(), waiting.end(), self) != waiting.end()) {
    return;
  }
  const auto behind = is_in_front
                          ? waiting.begin()
                          : std::find_if(waiting.begin(), waiting.end(),
                                         [&](const auto& other) {
                                           return this->is_before(*other, now);
                                         });
  waiting.insert(behind, self);
}

bool Forwarding::has_engine() const {
  const auto found = this->table->services.find(this->service);
  return found != this->table->services.end() &&
         found->second.engine.has_value();
}

bool Forwarding::TrySend() {
  if (this->is_asking_agents) {
    return false;
  }
  if (!this->has_engine()) {
    return this->TryOwnView();
  }
  const TimePoint now = EventLoop::Now();
  const bool is_late = this->is_late(now);
  const auto& full =
      is_late ? this->state.full_for_late_until : this->state.full_until;
  const auto found = full.find(this->service);
  if (found != full.end() && now < found->second) {
    return false;
  }
  this->is_asking_agents = this->state.placing->Ask(
      this->service, this->tried, is_late,
      [self = this->shared_from_this()](Placing::Verdict verdict,
                                        const Placing::Place& place) {
        self->HandlePlacing(verdict, place);
      });
  return !this->is_asking_agents && this->TryOwnView();
}

void Forwarding::SettlePlace() {
  if (this->place) {
    this->state.placing->Settle(*this->place);
    this->place.reset();
  }
}

void Forwarding::HandlePlacing(Placing::Verdict verdict,
                               const Placing::Place& place) {
  this->is_asking_agents = false;
  if (verdict == Placing::Verdict::kPlaced) {
    this->place = place;
  }
  if (this->is_finished) {
    this->SettlePlace();
    return;
  }
  const auto found = this->state.targets.by_id.find(place.target);
  const bool is_placed = verdict == Placing::Verdict::kPlaced &&
                         found != this->state.targets.by_id.end() &&
                         !found->second.target.is_leaving &&
                         !found->second.is_replaced;
  if (is_placed) {
    this->state.waiting.remove(this->shared_from_this());
    this->SendTo(found->second);
    ServeWaiting(this->state);
    return;
  }
  this->SettlePlace();
  if (verdict == Placing::Verdict::kUnanswered && this->TryOwnView()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  if (verdict == Placing::Verdict::kFull) {
    // What has no place for a late stream has none for one in time.
    this->state.full_until[this->service] = now + kFullPause;
    if (this->is_late(now)) {
      this->state.full_for_late_until[this->service] = now + kFullPause;
    }
    Log(LogLevel::kInfo, "forward", "waits",
        {{"request", this->id},
         {"waiting", std::to_string(this->state.waiting.size())}});
  }
  if (now >= this->wait_ends) {
    this->RefuseForLackOfPlace();
  }
}

// The choice by what this gateway knows itself: for plain services, and where
// no agent answers.
bool Forwarding::TryOwnView() {
  const TimePoint now = EventLoop::Now();
  const TargetView* target = nullptr;
  if (this->has_engine()) {
    target = gateway::ChoosePlace(this->state.places, this->state.targets,
                                  this->table->services.at(this->service),
                                  SharingOf(this->state, now), this->tried,
                                  this->state.random(), now);
  } else {
    target = gateway::ChooseLeastLoaded(this->state.targets, this->service,
                                        this->tried, this->state.settings.zone,
                                        this->state.random(), now);
  }
  if (target == nullptr) {
    return false;
  }
  auto keep_until_return = this->shared_from_this();
  this->state.waiting.remove(keep_until_return);
  this->SendTo(*target);
  return true;
}

void Forwarding::RefuseForLackOfPlace() {
  auto keep_until_return = this->shared_from_this();
  this->state.waiting.remove(keep_until_return);
  if (this->has_started_answer) {
    this->BreakOff("no place to go on");
    return;
  }
  if (this->may_have_run && !this->route->is_repeatable()) {
    this->Fail(kBadGateway, "may have run, and no target left");
    return;
  }
  this->Refuse(kUnavailable, "no place in time", true);
}

http::HeaderList Forwarding::HeadersFor(const TargetView& target,
                                        TimePoint now) const {
  const gateway::CallHeaders& names = this->state.adapter.headers;
  http::HeaderList headers;
  headers.emplace_back("host", this->request.host);
  std::string connection_words;
  for (const auto& [name, value] : this->request.headers) {
    if (name == "connection") {
      connection_words += value + ",";
    }
  }
  for (const auto& [name, value] : this->request.headers) {
    const bool is_reserved =
        std::find(names.reserved.begin(), names.reserved.end(), name) !=
        names.reserved.end();
    if (is_own_header(name) || is_reserved || name == names.key ||
        name == names.tenant || name == names.deadline ||
        name == names.expected_target || name == names.priority ||
        http::has_token(connection_words, name)) {
      continue;
    }
    if (name == names.last_event && this->last_event) {
      continue;
    }
    headers.emplace_back(name, value);
  }
  if (this->last_event) {
    headers.emplace_back(names.last_event, std::to_string(*this->last_event));
  }
  if (!this->tenant.empty()) {
    headers.emplace_back(names.tenant, this->tenant);
  }
  headers.emplace_back(names.deadline, Text(this->deadline - now));
  headers.emplace_back(names.expected_target, target.target.id);
  return headers;
}

void Forwarding::SendTo(const TargetView& target) {
  const TimePoint now = EventLoop::Now();
  this->target_id = target.target.id;
  this->group = gateway::GroupOf(target);
  this->tried.insert(this->target_id);
  ++this->state.targets.by_id[this->target_id].open;
  this->answer.reset();
  this->answer_body.clear();
  this->events = {};
  this->is_passing_events = false;
  Log(LogLevel::kInfo, "forward", "sent",
      {{"request", this->id},
       {"target", this->target_id},
       {"group", this->group},
       {"open", std::to_string(target.open)},
       {"open_elsewhere", std::to_string(target.open_elsewhere)},
       {"waited_ms", Text(now - this->arrived)},
       {"targets_revision",
        std::to_string(this->state.targets_feed->newest_revision())},
       {"targets_age_ms", Text(this->state.targets_feed->age(now))},
       {"attempt", std::to_string(this->tried.size())}});
  http::DirectRequest outgoing{
      .target = target.target.address,
      .method = this->request.method,
      .path = this->request.target,
      .headers = this->HeadersFor(target, now),
      .body = this->request.body,
      .connect_timeout = kConnectTimeout,
      .timeout = this->deadline - now + std::chrono::seconds(1)};
  auto self = this->shared_from_this();
  http::DirectEvents listeners;
  listeners.on_connected = [self] {
    ++self->sent;
    self->may_have_run = true;
  };
  listeners.on_head = [self](const http::AnswerHead& head, http::BodyFraming) {
    self->HandleHead(head);
  };
  listeners.on_bytes = [self](std::string_view bytes) {
    self->HandleBytes(bytes);
  };
  listeners.on_end = [self](CallEnd end) { self->HandleEnd(end); };
  this->call = http::DirectCall::Start(this->state.loop, std::move(outgoing),
                                       std::move(listeners));
  if (this->is_streaming()) {
    this->ArmSilence(kStreamSilence);
  } else if (this->route->kind == RouteKind::kIdempotent) {
    this->ArmSilence(std::max<Duration>(this->route->objective * 2,
                                        (this->deadline - now) * 2 / 5));
  }
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
  this->wait_ends = std::max(
      this->wait_ends, now + std::min(this->route->objective / kWaitDivisor,
                                      (this->deadline - now) / 2));
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

std::string Forwarding::RetryAfter() const {
  if (this->table == nullptr) {
    return std::string(kRetryAfterStart);
  }
  if (this->sent > 0) {
    return std::string(kRetryAfterRejection);
  }
  const Duration left = this->deadline - EventLoop::Now();
  const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(kShortestRetryAfter, left / kRetryAfterDivisor));
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

// The request has nothing at its target any more, whatever came of it.
void Forwarding::LeaveTarget(Outcome outcome) {
  this->SettlePlace();
  if (this->target_id.empty()) {
    return;
  }
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
