#include "Services/bramleyspand/Gateway/Placing.h"

#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

// An agent answers within two milliseconds unless it is busy or its datagram
// was lost; those that answer in time are enough.
constexpr Duration kUsualWait = std::chrono::milliseconds(6);
constexpr Duration kLongestWait = std::chrono::milliseconds(25);
// Where no agent answers, requests do not wait for one each time.
constexpr Duration kSilentPause = std::chrono::milliseconds(300);

}  // namespace

bool Placing::Ask(const std::string& service,
                  const std::set<std::string>& excluded,
                  bool is_late,
                  OnDecided on_decided) {
  const TimePoint now = EventLoop::Now();
  const auto ranks =
      gateway::PickRanksToAsk(this->state.targets, service, excluded,
                              gateway::kProbes, this->state.random(), now);
  if (ranks.empty()) {
    return false;
  }
  const auto silent = this->silent_until.find(service);
  if (silent != this->silent_until.end() && now < silent->second) {
    return false;
  }
  const uint64_t number = ++this->last_number;
  Round& round = this->rounds[number];
  round.began = now;
  round.service = service;
  round.on_decided = std::move(on_decided);
  membership::wire::PlaceProbeT probe;
  probe.number = number;
  probe.is_late = is_late;
  const std::string bytes = membership::Encode(probe);
  for (const gateway::TargetView* rank : ranks) {
    const std::string agent_ip = gateway::AgentIpOf(*rank);
    round.asked[Format(rank->target.address)] = {.agent_ip = agent_ip,
                                                 .target = rank->target.id};
    this->send(agent_ip, bytes);
  }
  round.timer = this->state.loop.RunAfter(
      kUsualWait, [this, number] { this->HandleTimer(number); });
  return true;
}

void Placing::HandleOffer(const membership::wire::PlaceOfferT& offer) {
  const auto found = this->rounds.find(offer.number);
  if (found == this->rounds.end()) {
    return;
  }
  Round& round = found->second;
  const auto asked = round.asked.find(offer.address);
  if (asked == round.asked.end()) {
    return;
  }
  const auto view = this->state.targets.by_id.find(asked->second.target);
  if (view != this->state.targets.by_id.end() && view->second.rank) {
    view->second.rank->received_at = EventLoop::Now();
  }
  round.offers.push_back(
      {.target = asked->second.target,
       .is_admitting = offer.is_admitting,
       .is_slow = offer.is_slow,
       .load = offer.load,
       .limit = offer.limit,
       .pass = std::chrono::microseconds(offer.pass_microseconds)});
  if (round.offers.size() == round.asked.size()) {
    this->Decide(offer.number);
  }
}

void Placing::HandleTimer(uint64_t number) {
  const auto found = this->rounds.find(number);
  if (found == this->rounds.end()) {
    return;
  }
  Round& round = found->second;
  round.timer = 0;
  const Duration since = EventLoop::Now() - round.began;
  if (round.offers.empty() && since < kLongestWait) {
    round.timer = this->state.loop.RunAfter(
        kLongestWait - since, [this, number] { this->HandleTimer(number); });
    return;
  }
  this->Decide(number);
}

// When a group opens, all that waited ask at once, and the first rank to open
// offered each of them the same empty places: 22 streams of one gateway went
// there. What other rounds took since this one began counts too.
void Placing::AddOwnTaken(Round& round) {
  const TimePoint now = EventLoop::Now();
  while (!this->taken.empty() && now - this->taken.front().at > kLongestWait) {
    this->taken.pop_front();
  }
  for (const Taken& place : this->taken) {
    for (gateway::Offer& offer : round.offers) {
      if (place.at >= round.began && offer.target == place.target) {
        ++offer.load;
        offer.is_admitting = offer.is_admitting &&
                             static_cast<double>(offer.load) + 1 <= offer.limit;
      }
    }
  }
}

void Placing::Decide(uint64_t number) {
  const auto found = this->rounds.find(number);
  Round round = std::move(found->second);
  this->rounds.erase(found);
  this->state.loop.Cancel(round.timer);
  telemetry::Observe(kProbeTime, {}, EventLoop::Now() - round.began);
  if (round.offers.empty()) {
    this->silent_until[round.service] = EventLoop::Now() + kSilentPause;
    Log(LogLevel::kWarning, "forward", "no_agent_answered",
        {{"probe", std::to_string(number)},
         {"service", round.service},
         {"asked", std::to_string(round.asked.size())}});
    round.on_decided(Verdict::kUnanswered, {});
    return;
  }
  this->AddOwnTaken(round);
  const auto chosen = gateway::ChooseOffer(round.offers);
  if (!chosen) {
    round.on_decided(Verdict::kFull, {});
    return;
  }
  const auto asked = std::find_if(round.asked.begin(), round.asked.end(),
                                  [&chosen](const auto& item) {
                                    return item.second.target == chosen->target;
                                  });
  membership::wire::PlaceTakenT taken;
  taken.number = number;
  this->send(asked->second.agent_ip, membership::Encode(taken));
  this->taken.push_back({.target = chosen->target, .at = EventLoop::Now()});
  Log(LogLevel::kInfo, "forward", "placed",
      {{"probe", std::to_string(number)},
       {"target", chosen->target},
       {"load", std::to_string(chosen->load)},
       {"limit", std::to_string(chosen->limit)},
       {"offers", std::to_string(round.offers.size())},
       {"asked", std::to_string(round.asked.size())}});
  round.on_decided(Verdict::kPlaced, {.target = chosen->target,
                                      .agent_ip = asked->second.agent_ip,
                                      .number = number});
}

void Placing::Settle(const Place& place) {
  membership::wire::PlaceTakenT taken;
  taken.number = place.number;
  taken.is_settled = true;
  this->send(place.agent_ip, membership::Encode(taken));
}

}  // namespace bramleyspan::gatewayd
