#include "Services/bramleyspand/Gateway/PermitRequests.h"

#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/SilentTargets.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

// An agent answers within 2 ms unless it is busy or a datagram was lost. After
// this time the answers received so far are enough.
constexpr Duration kInitialWait = std::chrono::milliseconds(6);
// Time after which a probe ends that no agent has answered.
constexpr Duration kMaxWait = std::chrono::milliseconds(25);
// Time for which a service is not probed after no agent answered, so that its
// requests do not wait for one each time.
constexpr Duration kUnansweredCooldown = std::chrono::milliseconds(300);
// Classes of waiting streams in a probe; the most urgent ones come first.
constexpr size_t kMaxWaitingCounts = 8;

scheduling::RankReport ReportOf(const membership::wire::PlaceOfferT& offer,
                                const std::string& rank,
                                TimePoint now) {
  scheduling::RankReport report{.rank = rank, .at = now};
  for (const auto& waiting : offer.waiting) {
    report.waiting.push_back({.stream_class = {.priority = waiting.priority(),
                                               .is_late = waiting.is_late()},
                              .count = waiting.count()});
  }
  for (const auto& granted : offer.granted) {
    report.granted.push_back({.stream_class = {.priority = granted.priority(),
                                               .is_late = granted.is_late()},
                              .per_second = granted.per_second()});
  }
  return report;
}

}  // namespace

bool PermitRequests::Request(const std::string& service,
                             const std::set<std::string>& excluded,
                             const scheduling::StreamClass& stream_class,
                             std::string_view preferred_zone,
                             OnDecided on_decided) {
  const TimePoint now = EventLoop::Now();
  const auto ranks = gateway::PickRanksToProbe(
      this->state.targets, service, excluded, gateway::kProbesPerStream,
      preferred_zone, this->state.random(), now);
  if (ranks.empty()) {
    return false;
  }
  const auto unanswered = this->unanswered_until.find(service);
  if (unanswered != this->unanswered_until.end() && now < unanswered->second) {
    return false;
  }
  const uint64_t number = ++this->last_number;
  Round& round = this->rounds[number];
  round.began = now;
  round.service = service;
  round.stream_class = stream_class;
  round.on_decided = std::move(on_decided);
  membership::wire::PlaceProbeT probe;
  probe.number = number;
  probe.is_late = stream_class.is_late;
  this->AddQueue(probe, service, stream_class);
  const std::string bytes = membership::Encode(probe);
  for (const gateway::TargetView* rank : ranks) {
    const std::string agent_ip = gateway::AgentIpOf(*rank);
    round.probed[Format(rank->target.address)] = {.agent_ip = agent_ip,
                                                  .target = rank->target.id};
    this->send(agent_ip, bytes);
  }
  round.timer = this->state.loop.RunAfter(
      kInitialWait, [this, number] { this->HandleTimer(number); });
  return true;
}

size_t PermitRequests::CountOpenRounds(
    const std::string& service,
    const scheduling::StreamClass& stream_class) const {
  return static_cast<size_t>(
      std::ranges::count_if(this->rounds, [&](const auto& item) {
        return item.second.service == service &&
               item.second.stream_class <= stream_class;
      }));
}

void PermitRequests::AddQueue(
    membership::wire::PlaceProbeT& probe,
    const std::string& service,
    const scheduling::StreamClass& stream_class) const {
  const auto found = this->state.table->services.find(service);
  if (found == this->state.table->services.end() ||
      !found->second.has_priorities()) {
    return;
  }
  probe.priority = stream_class.priority;
  for (const auto& waiting : CountWaiting(this->state, service)) {
    if (probe.waiting.size() < kMaxWaitingCounts) {
      probe.waiting.emplace_back(
          waiting.stream_class.priority,
          static_cast<uint16_t>(std::min<uint32_t>(waiting.count, UINT16_MAX)),
          waiting.stream_class.is_late);
    }
  }
}

void PermitRequests::HandleOffer(const membership::wire::PlaceOfferT& offer) {
  this->state.silent_targets->HandleOffer(offer);
  const auto found = this->rounds.find(offer.number);
  if (found == this->rounds.end()) {
    return;
  }
  Round& round = found->second;
  const auto probed = round.probed.find(offer.address);
  if (probed == round.probed.end()) {
    return;
  }
  const auto view = this->state.targets.by_id.find(probed->second.target);
  if (view != this->state.targets.by_id.end() && view->second.rank) {
    view->second.rank->received_at = EventLoop::Now();
  }
  this->state.silent_targets->RecordOffer(probed->second.target, offer);
  if (!offer.granted.empty()) {
    scheduling::RecordReport(
        this->state.forecasts[round.service],
        ReportOf(offer, probed->second.target, EventLoop::Now()));
  }
  round.offers.push_back(
      {.target = probed->second.target,
       .is_admitting = offer.is_admitting,
       .is_slow = offer.is_slow,
       .load = offer.load,
       .limit = offer.limit,
       .pass = std::chrono::microseconds(offer.pass_microseconds)});
  if (round.offers.size() == round.probed.size()) {
    this->Decide(offer.number);
  }
}

void PermitRequests::HandleTimer(uint64_t number) {
  const auto found = this->rounds.find(number);
  if (found == this->rounds.end()) {
    return;
  }
  Round& round = found->second;
  round.timer = 0;
  const Duration since = EventLoop::Now() - round.began;
  if (round.offers.empty() && since < kMaxWait) {
    round.timer = this->state.loop.RunAfter(
        kMaxWait - since, [this, number] { this->HandleTimer(number); });
    return;
  }
  this->Decide(number);
}

// Adds permits that this gateway took in other rounds since this one began to
// the load of the round's offers.
//
// Failure: when a group opens, all waiting requests probe at once, and the
// first rank to open offered the same free permits to each of them: 22 streams
// of one gateway were sent to it.
void PermitRequests::CountOwnPermits(Round& round) {
  const TimePoint now = EventLoop::Now();
  while (!this->taken.empty() && now - this->taken.front().at > kMaxWait) {
    this->taken.pop_front();
  }
  for (const TakenPermit& permit : this->taken) {
    for (gateway::Offer& offer : round.offers) {
      if (permit.at >= round.began && offer.target == permit.target) {
        ++offer.load;
        offer.is_admitting = offer.is_admitting &&
                             static_cast<double>(offer.load) + 1 <= offer.limit;
      }
    }
  }
}

void PermitRequests::Decide(uint64_t number) {
  const auto found = this->rounds.find(number);
  Round round = std::move(found->second);
  this->rounds.erase(found);
  this->state.loop.Cancel(round.timer);
  telemetry::Observe(kProbeTime, {}, EventLoop::Now() - round.began);
  if (round.offers.empty()) {
    this->unanswered_until[round.service] =
        EventLoop::Now() + kUnansweredCooldown;
    Log(LogLevel::kWarning, "forward", "no_agent_answered",
        {{"probe", std::to_string(number)},
         {"service", round.service},
         {"asked", std::to_string(round.probed.size())}});
    round.on_decided(Verdict::kUnanswered, {});
    return;
  }
  this->CountOwnPermits(round);
  const auto chosen = gateway::ChooseOffer(round.offers);
  if (!chosen) {
    round.on_decided(Verdict::kFull, {});
    return;
  }
  const auto probed = std::find_if(
      round.probed.begin(), round.probed.end(), [&chosen](const auto& item) {
        return item.second.target == chosen->target;
      });
  membership::wire::PlaceTakenT taken;
  taken.number = number;
  this->send(probed->second.agent_ip, membership::Encode(taken));
  this->taken.push_back({.target = chosen->target, .at = EventLoop::Now()});
  Log(LogLevel::kInfo, "forward", "placed",
      {{"probe", std::to_string(number)},
       {"target", chosen->target},
       {"load", std::to_string(chosen->load)},
       {"limit", std::to_string(chosen->limit)},
       {"offers", std::to_string(round.offers.size())},
       {"asked", std::to_string(round.probed.size())}});
  round.on_decided(Verdict::kGranted, {.target = chosen->target,
                                       .agent_ip = probed->second.agent_ip,
                                       .number = number});
}

void PermitRequests::Settle(const Permit& permit) {
  membership::wire::PlaceTakenT taken;
  taken.number = permit.number;
  taken.is_settled = true;
  this->send(permit.agent_ip, membership::Encode(taken));
}

}  // namespace bramleyspan::gatewayd
