// Where a request goes, and what it does while there is no place for it.
#include <algorithm>
#include <set>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kUnavailable;
using gateway::TargetView;
using telemetry::Log;
using telemetry::LogLevel;

// Agents that had no place are not asked again at once.
constexpr Duration kFullPause = std::chrono::milliseconds(12);

}  // namespace

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

bool Forwarding::is_late(TimePoint now) const {
  return this->is_streaming() &&
         (this->has_started_answer || now >= this->wait.late_from);
}

bool Forwarding::is_before(const Forwarding& other, TimePoint now) const {
  const auto urgency_of = [now](const Forwarding& forwarding) {
    return gateway::Urgency{.priority = forwarding.priority,
                            .is_late = forwarding.is_late(now),
                            .is_returning = forwarding.is_returning};
  };
  return gateway::is_before(urgency_of(*this), urgency_of(other));
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
  if (now >= this->wait.ends) {
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
  if (now >= this->wait.ends) {
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

}  // namespace bramleyspan::gatewayd
