#include "Services/bramleyspand/Gateway/SilentTargets.h"

#include <vector>

#include "LibGateway/Offers.h"
#include "LibGateway/Permits.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using gateway::Liveness;
using gateway::OwedStep;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kCheckInterval = std::chrono::milliseconds(40);
constexpr Duration kCleaningInterval = std::chrono::seconds(1);
// Numbers of probes that ask for no permit.
constexpr uint64_t kFirstProbe = uint64_t{1} << 63U;

}  // namespace

void SilentTargets::RecordAnswer(const std::string& target) {
  gateway::RecordAnswer(this->by_target[target], EventLoop::Now());
}

void SilentTargets::RecordOffer(const std::string& target,
                                const membership::wire::PlaceOfferT& offer) {
  gateway::RecordReport(
      this->by_target[target],
      std::chrono::milliseconds(offer.report_age_milliseconds),
      EventLoop::Now());
}

void SilentTargets::HandleOffer(const membership::wire::PlaceOfferT& offer) {
  const auto target = this->probed.find(offer.address);
  if (offer.number >= kFirstProbe && target != this->probed.end()) {
    this->RecordOffer(target->second, offer);
  }
}

Duration SilentTargets::SilentFor(const std::string& target) const {
  const auto found = this->by_target.find(target);
  const TimePoint now = EventLoop::Now();
  const bool is_silent =
      found != this->by_target.end() && gateway::is_silent(found->second, now);
  return is_silent ? now - std::max(found->second.answered_at,
                                    found->second.reported_at)
                   : Duration(0);
}

void SilentTargets::CheckPeriodically() {
  this->state.loop.RunAfter(kCheckInterval,
                            [this] { this->CheckPeriodically(); });
  const TimePoint now = EventLoop::Now();
  std::set<std::string> suspects;
  std::set<std::string> probing;
  std::vector<std::shared_ptr<Forwarding>> moving;
  for (const auto& [number, forwarding] : this->state.open) {
    const auto owed = forwarding->FindOwed();
    const std::string& target = forwarding->target();
    if (!owed || !gateway::is_owed(*owed, this->by_target[target], now)) {
      continue;
    }
    suspects.insert(target);
    switch (gateway::NextStepFor(*owed, this->by_target[target],
                                 this->is_group_working(target, now), now)) {
      case OwedStep::kWait:
        break;
      case OwedStep::kProbe:
        probing.insert(target);
        break;
      case OwedStep::kMove:
        moving.push_back(forwarding->shared_from_this());
        break;
    }
  }
  for (const std::string& target : probing) {
    this->Probe(target);
  }
  for (const auto& forwarding : moving) {
    forwarding->MoveFromSilentTarget();
  }
  this->LogChanges(suspects, now);
  if (now - this->cleaned_at > kCleaningInterval) {
    this->cleaned_at = now;
    this->RemoveUnlisted();
  }
}

bool SilentTargets::is_group_working(const std::string& target,
                                     TimePoint now) const {
  const auto& targets = this->state.targets.by_id;
  const auto own = targets.find(target);
  if (own == targets.end()) {
    return false;
  }
  const std::string group = gateway::GroupOf(own->second);
  return std::ranges::any_of(this->by_target, [&](const auto& item) {
    const auto other = targets.find(item.first);
    return item.first != target && other != targets.end() &&
           gateway::GroupOf(other->second) == group &&
           gateway::is_working(item.second, now);
  });
}

void SilentTargets::Probe(const std::string& target) {
  const auto found = this->state.targets.by_id.find(target);
  if (found == this->state.targets.by_id.end()) {
    return;
  }
  this->probed[Format(found->second.target.address)] = target;
  membership::wire::PlaceProbeT probe;
  probe.number = kFirstProbe + ++this->last_probe;
  probe.is_late = true;
  this->send(gateway::AgentIpOf(found->second), membership::Encode(probe));
  gateway::RecordProbe(this->by_target[target], EventLoop::Now());
}

void SilentTargets::LogChanges(const std::set<std::string>& suspects,
                               TimePoint now) {
  for (const std::string& target : suspects) {
    const Liveness& liveness = this->by_target[target];
    if (!gateway::is_silent(liveness, now) ||
        this->silent_since.contains(target)) {
      continue;
    }
    const TimePoint since =
        std::max(liveness.answered_at, liveness.reported_at);
    this->silent_since[target] = since;
    telemetry::Count(kSilentTargets, {});
    Log(LogLevel::kWarning, "targets", "target_silent",
        {{"target", target},
         {"for_ms", std::to_string((now - since).count() / 1000)}});
  }
  std::erase_if(this->silent_since, [&](const auto& item) {
    const auto& [target, since] = item;
    if (gateway::is_silent(this->by_target[target], now)) {
      return false;
    }
    Log(LogLevel::kInfo, "targets", "target_heard_again",
        {{"target", target},
         {"for_ms", std::to_string((now - since).count() / 1000)}});
    return true;
  });
}

void SilentTargets::RemoveUnlisted() {
  const auto is_unlisted = [this](const std::string& target) {
    return !this->state.targets.by_id.contains(target);
  };
  std::erase_if(this->by_target,
                [&](const auto& item) { return is_unlisted(item.first); });
  std::erase_if(this->silent_since,
                [&](const auto& item) { return is_unlisted(item.first); });
  std::erase_if(this->probed,
                [&](const auto& item) { return is_unlisted(item.second); });
}

}  // namespace bramleyspan::gatewayd
