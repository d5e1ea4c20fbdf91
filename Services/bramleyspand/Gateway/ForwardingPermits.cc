// Chooses the target of a request, and lets the request wait while no permit is
// available.
#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "LibGateway/HoldOutlook.h"
#include "LibMembership/Gossip.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/RateLimiter.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kUnavailable;
using detail::ToMillisecondsText;
using gateway::TargetView;
using telemetry::Log;
using telemetry::LogLevel;

// Time for which agents are not probed again after none had a permit.
constexpr Duration kFullCooldown = std::chrono::milliseconds(12);
// Rounds of probes of one service and class under way at a time in a large
// fleet. Further ones would reach the same ranks, mostly in other zones.
constexpr size_t kMaxRoundsInLargeFleet = 2;
// A refusal that comes after this fraction of the objective, as a divisor,
// keeps the caller from going elsewhere in time.
constexpr int kLateRefusalDivisor = 8;

}  // namespace

void ServeWaiting(GatewayState& state) {
  const TimePoint now = EventLoop::Now();
  state.waiting.sort([now](const auto& left, const auto& right) {
    return left->is_before(*right, now);
  });
  // Copied because each request that is sent or refused leaves the list.
  const auto waiting = state.waiting;
  std::set<std::pair<std::string, bool>> full;
  // By service: whether all of its targets hold requests back.
  std::map<std::string, bool> held_back;
  for (const auto& forwarding : waiting) {
    const std::pair kind(forwarding->service_name(), forwarding->is_late(now));
    const bool is_sent = !full.contains(kind) && forwarding->TrySend();
    if (is_sent || forwarding->is_probing()) {
      continue;
    }
    full.insert(kind);
    if (forwarding->waits_until() <= now) {
      forwarding->EndWait();
      continue;
    }
    const auto [known, is_new] =
        held_back.try_emplace(forwarding->service_name());
    if (is_new) {
      known->second =
          gateway::FindHoldOutlook(state.targets, known->first, {}, now)
              .has_value();
    }
    if (known->second) {
      forwarding->RefuseIfHeldBack();
    }
  }
}

std::vector<scheduling::ClassCount> CountWaiting(const GatewayState& state,
                                                 const std::string& service) {
  const TimePoint now = EventLoop::Now();
  std::map<scheduling::StreamClass, uint32_t> counts;
  for (const auto& forwarding : state.waiting) {
    if (forwarding->service_name() == service) {
      ++counts[forwarding->class_at(now)];
    }
  }
  std::vector<scheduling::ClassCount> result;
  result.reserve(counts.size());
  for (const auto& [stream_class, count] : counts) {
    result.push_back({.stream_class = stream_class, .count = count});
  }
  return result;
}

scheduling::StreamClass Forwarding::class_at(TimePoint now) const {
  return {.priority = this->priority, .is_late = this->is_late(now)};
}

bool Forwarding::is_late(TimePoint now) const {
  return this->is_streaming() &&
         (this->caller.has_begun || now >= this->wait.late_from);
}

bool Forwarding::is_before(const Forwarding& other, TimePoint now) const {
  const auto urgency_of = [now](const Forwarding& forwarding) {
    return gateway::Urgency{.priority = forwarding.priority,
                            .is_late = forwarding.is_late(now),
                            .is_retry = forwarding.is_retry};
  };
  return gateway::is_before(urgency_of(*this), urgency_of(other));
}

void Forwarding::SendOrWait() {
  const auto& waiting = this->state.waiting;
  const TimePoint now = EventLoop::Now();
  this->state.signals->CountHeldBack(this->service);
  const auto availability = this->state.availability.find(this->service);
  if (this->has_engine() && availability != this->state.availability.end() &&
      gateway::is_unavailable(availability->second, now)) {
    this->Refuse(kUnavailable, "no group of the service can open", true);
    return;
  }
  const bool is_first =
      std::none_of(waiting.begin(), waiting.end(), [&](const auto& other) {
        return other->service == this->service && !other->is_probing() &&
               !this->is_before(*other, now);
      });
  if (this->RefuseIfStopping() || this->RefuseIfEvacuated() ||
      (is_first && this->TrySend())) {
    return;
  }
  if (now >= this->wait.ends) {
    this->EndWait();
    return;
  }
  if (!this->is_probing() &&
      (this->RefuseIfHeldBack() || this->RefuseIfUnservable())) {
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

const gateway::Service* Forwarding::FindServiceWithPriorities() const {
  const auto found = this->table->services.find(this->service);
  const bool has_priorities = found != this->table->services.end() &&
                              found->second.engine &&
                              found->second.has_priorities();
  return has_priorities ? &found->second : nullptr;
}

bool Forwarding::RefuseIfUnservable() {
  const gateway::Service* service = this->FindServiceWithPriorities();
  // The most urgent streams wait for as long as they can be served at all, and
  // so does a caller that will not retry again.
  if (service == nullptr || this->sent > 0 || !this->is_streaming() ||
      this->is_retry ||
      this->route->priority <= service->most_urgent_priority) {
    return false;
  }
  // The queue behind a stream that has waited does not concern it, until it is
  // late and all that are in time come first.
  const TimePoint now = EventLoop::Now();
  const bool has_just_arrived =
      now - this->arrived <= this->route->objective / kLateRefusalDivisor;
  if (!has_just_arrived && !this->is_late(now)) {
    return false;
  }
  const auto forecast = this->state.forecasts.find(this->service);
  const scheduling::PendingStream stream{
      .priority = this->priority,
      .in_time_wait = gateway::InTimeWaitOf(this->route->objective),
      .ends = this->wait.ends};
  if (forecast == this->state.forecasts.end() ||
      !scheduling::is_unservable(
          forecast->second, stream,
          gateway::CountUsable(this->state.targets, this->service), now)) {
    return false;
  }
  this->RefuseForLackOfPermit("no permit is expected in time");
  return true;
}

std::string_view Forwarding::PreferredZone() const {
  const bool has_preference =
      membership::is_large(this->state.members) && !this->was_denied;
  return has_preference ? std::string_view(this->state.settings.zone) : "";
}

bool Forwarding::TrySend() {
  if (this->is_probing()) {
    return false;
  }
  if (this->EndIfQuarantined() || this->RefuseIfStopping() ||
      this->RefuseIfEvacuated()) {
    return true;
  }
  if (!this->has_engine()) {
    return this->TrySendByLocalView();
  }
  const TimePoint now = EventLoop::Now();
  const scheduling::StreamClass stream_class = this->class_at(now);
  const bool has_too_many_rounds =
      membership::is_large(this->state.members) &&
      this->state.permit_requests->CountOpenRounds(
          this->service, stream_class) >= kMaxRoundsInLargeFleet;
  if (has_too_many_rounds ||
      scheduling::is_denied(this->state.full[this->service], stream_class,
                            now)) {
    return false;
  }
  this->is_awaiting_offers = this->state.permit_requests->Request(
      this->service, this->tried, stream_class, this->PreferredZone(),
      [self = this->shared_from_this()](PermitRequests::Verdict verdict,
                                        const PermitRequests::Permit& permit) {
        self->HandlePermitDecision(verdict, permit);
      });
  return !this->is_awaiting_offers && this->TrySendByLocalView();
}

void Forwarding::SettlePermit() {
  if (this->permit) {
    this->state.permit_requests->Settle(*this->permit);
    this->permit.reset();
  }
}

void Forwarding::HandlePermitDecision(PermitRequests::Verdict verdict,
                                      const PermitRequests::Permit& permit) {
  this->is_awaiting_offers = false;
  if (verdict == PermitRequests::Verdict::kGranted) {
    this->permit = permit;
  }
  if (this->is_finished) {
    this->SettlePermit();
    return;
  }
  if (this->permit) {
    this->SendWithPermit();
    return;
  }
  if (verdict == PermitRequests::Verdict::kUnanswered &&
      this->TrySendByLocalView()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  if (verdict == PermitRequests::Verdict::kFull) {
    // Ranks of other zones may have permits.
    const bool had_preferred_zone = !this->PreferredZone().empty();
    this->was_denied = true;
    this->RecordDenial(now);
    Log(LogLevel::kInfo, "forward", "waits",
        {{"request", this->id},
         {"waiting", std::to_string(this->state.waiting.size())}});
    if (!had_preferred_zone && this->RefuseIfUnservable()) {
      return;
    }
  }
  if (now >= this->wait.ends && !this->is_probing()) {
    this->EndWait();
  }
}

void Forwarding::RecordDenial(TimePoint now) {
  scheduling::DenialCooldowns& full = this->state.full[this->service];
  const scheduling::StreamClass stream_class = this->class_at(now);
  scheduling::RecordDenial(full, stream_class, now + kFullCooldown);
  // If there is no permit for a late stream, there is none for one in time.
  if (stream_class.is_late && this->FindServiceWithPriorities() == nullptr) {
    scheduling::RecordDenial(full, {.priority = stream_class.priority},
                             now + kFullCooldown);
  }
}

void Forwarding::SendWithPermit() {
  const auto found = this->state.targets.by_id.find(this->permit->target);
  const bool is_usable = found != this->state.targets.by_id.end() &&
                         gateway::is_usable(this->state.targets, found->second);
  if (is_usable) {
    switch (this->SendIfAdmitted(found->second)) {
      case SendVerdict::kSent:
        ServeWaiting(this->state);
        return;
      case SendVerdict::kPending:
        return;
      case SendVerdict::kHeldBack:
        break;
    }
  }
  this->SettlePermit();
  if (this->TrySend() || this->is_probing()) {
    return;
  }
  if (EventLoop::Now() >= this->wait.ends) {
    this->EndWait();
  } else {
    this->RefuseIfHeldBack();
  }
}

Forwarding::SendVerdict Forwarding::SendIfAdmitted(const TargetView& target) {
  auto self = this->shared_from_this();
  // A part may have been quarantined, or tried, and time has passed, while the
  // permit was awaited.
  if (this->EndIfQuarantined() || this->RefuseIfStopping()) {
    return SendVerdict::kSent;
  }
  // Its zone may have been evacuated while the permit was awaited.
  if (!gateway::is_usable(this->state.targets, target)) {
    return SendVerdict::kHeldBack;
  }
  const std::string id = target.target.id;
  const TimePoint now = EventLoop::Now();
  // The target may have asked for a backoff while the permit was awaited.
  const bool is_held = gateway::HeldUntil(this->state.targets, id, now) > now;
  const RateLimiter::Verdict verdict =
      is_held ? RateLimiter::Verdict::kHeldBack
              : this->state.rate_limiter->Admit(
                    id, [self] { self->HandleRateReply(); });
  switch (verdict) {
    case RateLimiter::Verdict::kAdmitted:
      this->state.waiting.remove(self);
      this->SendTo(target);
      return SendVerdict::kSent;
    case RateLimiter::Verdict::kPending:
      this->is_awaiting_rate = true;
      return SendVerdict::kPending;
    case RateLimiter::Verdict::kHeldBack:
      break;
  }
  const TimePoint until = gateway::HeldUntil(this->state.targets, id, now);
  telemetry::Count(kHeldBack, {{"service", this->service}, {"by", "target"}});
  Log(LogLevel::kInfo, "forward", "held_back",
      {{"request", this->id},
       {"target", id},
       {"for_ms", ToMillisecondsText(until - now)}});
  return SendVerdict::kHeldBack;
}

void Forwarding::HandleRateReply() {
  this->is_awaiting_rate = false;
  if (this->is_finished) {
    return;
  }
  if (this->permit) {
    this->SendWithPermit();
  } else if (!this->TrySend() && !this->is_probing()) {
    this->RefuseIfHeldBack();
  }
}

std::optional<TimePoint> Forwarding::HeldBackUntil(
    const std::set<std::string>& excluded) const {
  const TimePoint now = EventLoop::Now();
  const auto outlook = gateway::FindHoldOutlook(this->state.targets,
                                                this->service, excluded, now);
  if (!outlook) {
    return std::nullopt;
  }
  const auto& waiting = this->state.waiting;
  const auto ahead =
      std::count_if(waiting.begin(), waiting.end(), [&](const auto& other) {
        return other.get() != this && other->service == this->service &&
               !this->is_before(*other, now);
      });
  return gateway::ReleaseOf(*outlook, static_cast<size_t>(ahead),
                            SharingOf(this->state, now).gateways);
}

bool Forwarding::RefuseIfEvacuated() {
  if (!gateway::has_only_evacuated_targets(this->state.targets,
                                           this->service)) {
    return false;
  }
  this->RefuseForLackOfPermit("all zones of the service are evacuated");
  return true;
}

bool Forwarding::RefuseIfHeldBack() {
  const std::optional<TimePoint> until = this->HeldBackUntil(this->tried);
  if (!until || *until <= this->wait.ends) {
    return false;
  }
  this->RefuseForLackOfPermit("all targets hold requests back");
  return true;
}

// Sends by the local view alone: for services without engine, and if no agent
// answers.
bool Forwarding::TrySendByLocalView() {
  auto keep_until_return = this->shared_from_this();
  std::set<std::string> excluded = this->tried;
  while (const TargetView* target = this->ChooseByLocalView(excluded)) {
    const std::string id = target->target.id;
    const SendVerdict verdict = this->SendIfAdmitted(*target);
    if (verdict != SendVerdict::kHeldBack) {
      return verdict == SendVerdict::kSent;
    }
    excluded.insert(id);
  }
  return false;
}

const TargetView* Forwarding::ChooseByLocalView(
    const std::set<std::string>& excluded) {
  const TimePoint now = EventLoop::Now();
  if (this->has_engine()) {
    return gateway::ChooseTargetWithPermit(
        this->state.permits, this->state.targets,
        this->table->services.at(this->service), SharingOf(this->state, now),
        excluded, this->state.random(), now);
  }
  return gateway::ChooseLeastLoaded(this->state.targets, this->service,
                                    excluded, this->state.settings.zone,
                                    this->state.random(), now);
}

void Forwarding::EndWait() {
  // A begun stream without a permit is cut, which is worse than a late pass.
  if (!this->caller.has_begun || !this->TrySendWithoutPermit()) {
    this->RefuseForLackOfPermit("no permit in time");
  }
}

bool Forwarding::TrySendWithoutPermit() {
  const TargetView* target = gateway::ChooseLeastLoaded(
      this->state.targets, this->service, this->tried,
      this->state.settings.zone, this->state.random(), EventLoop::Now());
  return target != nullptr &&
         this->SendIfAdmitted(*target) != SendVerdict::kHeldBack;
}

void Forwarding::RefuseForLackOfPermit(std::string_view cause) {
  auto keep_until_return = this->shared_from_this();
  this->state.waiting.remove(keep_until_return);
  this->EndUnserved(
      {.cause = std::string(cause),
       .may_have_run = this->may_have_run && !this->route->is_repeatable()});
}

}  // namespace bramleyspan::gatewayd
