#include "SimulatedFleet.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace bramleyspan::scheduling {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The streams, callers and engines of the first deployment in
// docs/design/zones-and-priorities.md.
struct Kind {
  double per_second_and_rank;
  Duration objective;
  Duration event_timeout;
  double late_value;
};
// As in Gateway/ForwardingPermits: a stream that has waited for longer is
// refused by forecast only once it is late.
constexpr int kLateRefusalDivisor = 8;
constexpr std::array<Kind, kPriorities> kKinds{
    {{80.2 / 63, milliseconds(400), seconds(2), 0.34 / 3.5},
     {35.2 / 63, milliseconds(400), seconds(2), 0.46 / 1.8},
     {105.0 / 63, milliseconds(1000), seconds(4), 0.35 / 0.92}}};
constexpr Duration kCallerTime = seconds(8);
// At seven streams, which is as many as a rank admits. Passes don't vary here:
// the simulation of LibAdmission covers that.
constexpr Duration kPass = milliseconds(60);
// Ranks serve 1.48 times the usual load, and the burst exceeds that by a fifth.
constexpr Duration kStreamLifetime = milliseconds(1350);
constexpr size_t kProbes = 6;
constexpr Duration kProbeWait = milliseconds(6);
constexpr Duration kServeInterval = milliseconds(25);
constexpr Duration kPollInterval = milliseconds(10);
constexpr Duration kFullCooldown = milliseconds(12);
constexpr size_t kMaxGatewaysInSmallFleet = 13;
constexpr int kMaxProbesInLargeFleet = 2;

struct ProbeRound {
  Caller* caller = nullptr;
  size_t gateway = 0;
  StreamClass stream_class;
  std::vector<ClassCount> waiting;
  bool is_decided = false;
  TimePoint began;
  std::vector<gateway::Offer> offers;
};

void RunAfter(SimulatedFleet& fleet, Duration delay, std::function<void()> f) {
  fleet.events.emplace(fleet.now + delay, std::move(f));
}

void SendDatagram(SimulatedFleet& fleet, std::function<void()> receive) {
  if (!std::bernoulli_distribution(fleet.settings.loss)(fleet.random)) {
    RunAfter(fleet, Duration(1000 + fleet.random() % 1001), std::move(receive));
  }
}

StreamClass ClassOf(const Caller& caller, TimePoint now) {
  return {.priority = static_cast<int32_t>(caller.priority),
          .is_late = now >= caller.wait.late_from};
}

bool is_before(const Caller& left, const Caller& right, TimePoint now) {
  const auto urgency_of = [now](const Caller& caller) {
    const auto [priority, is_late] = ClassOf(caller, now);
    return gateway::Urgency{priority, is_late, caller.is_retry};
  };
  return gateway::is_before(urgency_of(left), urgency_of(right));
}

void Attempt(SimulatedFleet& fleet, Caller& caller);

void Retry(SimulatedFleet& fleet, Caller& caller, Duration retry_after) {
  caller.started.reset();
  if (!std::exchange(caller.is_retry, true)) {
    const Duration left = caller.requested_at + kCallerTime - fleet.now;
    RunAfter(fleet, std::min(retry_after, left / 3),
             [&fleet, &caller] { Attempt(fleet, caller); });
  }
}

void Refuse(SimulatedFleet& fleet, Caller& caller) {
  SimulatedGateway& gateway = fleet.gateways[caller.gateway];
  std::erase(gateway.waiting, &caller);
  const auto wait =
      TimeUntilPermit(gateway.forecast, ClassOf(caller, fleet.now).priority,
                      fleet.ranks.size(), fleet.now);
  Retry(fleet, caller,
        std::max(wait.value_or(kCallerTime), gateway::kMinRetryDelay));
}

bool RefuseIfUnservable(SimulatedFleet& fleet, Caller& caller) {
  const PendingStream stream{
      .priority = ClassOf(caller, fleet.now).priority,
      .in_time_wait = gateway::InTimeWaitOf(kKinds[caller.priority].objective),
      .ends = caller.wait.ends};
  const Duration waited = fleet.now - caller.requested_at;
  const bool has_just_arrived =
      waited <= kKinds[caller.priority].objective / kLateRefusalDivisor;
  const bool is_late = ClassOf(caller, fleet.now).is_late;
  if (caller.is_retry || caller.priority == 0 ||
      (!has_just_arrived && !is_late) ||
      !is_unservable(fleet.gateways[caller.gateway].forecast, stream,
                     fleet.ranks.size(), fleet.now)) {
    return false;
  }
  caller.refused_by_forecast = fleet.now;
  Refuse(fleet, caller);
  return true;
}

void ServeWaiting(SimulatedFleet& fleet, SimulatedGateway& gateway);

void Decide(SimulatedFleet& fleet, ProbeRound& round) {
  SimulatedGateway& gateway = fleet.gateways[round.gateway];
  if (std::exchange(round.is_decided, true) || !gateway.is_alive) {
    return;
  }
  Caller& caller = *round.caller;
  caller.is_probing = false;
  for (const auto& [target, at] : gateway.taken) {
    for (gateway::Offer& offer : round.offers) {
      if (at >= round.began && offer.target == target) {
        ++offer.load;
        offer.is_admitting =
            offer.is_admitting && offer.load + 1 <= offer.limit;
      }
    }
  }
  if (const auto chosen = gateway::ChooseOffer(round.offers)) {
    gateway.taken.emplace_back(chosen->target, fleet.now);
    caller.rank = std::stoul(chosen->target);
    SendDatagram(fleet, [&fleet, &rank = fleet.ranks[caller.rank],
                         taken = round.stream_class] {
      RecordGrant(rank.denied, taken, fleet.now);
      RecordGrant(rank.rates, taken, fleet.now);
      // The stream counts until the rank's next report.
      RecordReservation(rank.admission, {}, fleet.now);
      RemoveReservation(rank.admission, {});
      ++rank.admission.reported.running;
    });
    caller.started = fleet.now;
    std::erase(gateway.waiting, &caller);
    fleet.running.push_back(&caller);
    RunAfter(fleet, kStreamLifetime,
             [&fleet, &caller, started = caller.started] {
               if (caller.started == started) {
                 std::erase(fleet.running, &caller);
               }
             });
    ServeWaiting(fleet, gateway);
    return;
  }
  RecordDenial(gateway.full, ClassOf(caller, fleet.now),
               fleet.now + kFullCooldown);
  if (!RefuseIfUnservable(fleet, caller) && fleet.now >= caller.wait.ends) {
    Refuse(fleet, caller);
  }
}

void AnswerProbe(SimulatedFleet& fleet,
                 size_t index,
                 const std::shared_ptr<ProbeRound>& round) {
  SimulatedRank& rank = fleet.ranks[index];
  const StreamClass& probed = round->stream_class;
  if (!rank.has_agent) {
    return;
  }
  RecordQueue(rank.queue, std::to_string(round->gateway), round->waiting,
              fleet.now);
  auto offer = OfferOf(rank.admission, probed.is_late, fleet.now);
  if (!offer.is_admitting && probed.is_late && !offer.is_slow &&
      has_less_urgent(rank.queue, probed.priority, fleet.now)) {
    offer = OfferOf(rank.admission, /*is_late=*/false, fleet.now);
  }
  offer.is_admitting =
      offer.is_admitting && !(fleet.settings.holds_back &&
                              is_held_back(rank.denied, probed, fleet.now));
  RankReport report{.rank = std::to_string(index)};
  if (offer.is_admitting) {
    RecordOffer(rank.admission, fleet.now);
  } else {
    RecordDenial(rank.denied, probed, fleet.now);
    report.waiting = SumOf(rank.queue, fleet.now);
    if (auto rates = RatesOf(rank.rates, fleet.now)) {
      report.granted = *std::move(rates);
      if (report.granted.empty()) {
        report.granted.push_back({.stream_class = probed});
      }
    }
  }
  SendDatagram(fleet, [&fleet, round, offer, report]() mutable {
    if (round->is_decided) {
      return;
    }
    if (!report.granted.empty()) {
      report.at = fleet.now;
      RecordReport(fleet.gateways[round->gateway].forecast, report);
    }
    round->offers.push_back({.target = report.rank,
                             .is_admitting = offer.is_admitting,
                             .load = offer.load,
                             .limit = offer.limit});
    if (round->offers.size() == kProbes) {
      Decide(fleet, *round);
    }
  });
}

void TrySend(SimulatedFleet& fleet, SimulatedGateway& gateway, Caller& caller) {
  const StreamClass stream_class = ClassOf(caller, fleet.now);
  std::map<StreamClass, uint32_t> counts;
  int probes = 0;
  for (const Caller* other : gateway.waiting) {
    const StreamClass waiting = ClassOf(*other, fleet.now);
    ++counts[waiting];
    probes += other->is_probing && waiting <= stream_class ? 1 : 0;
  }
  if (caller.is_probing || is_denied(gateway.full, stream_class, fleet.now) ||
      (fleet.gateways.size() > kMaxGatewaysInSmallFleet &&
       probes >= kMaxProbesInLargeFleet)) {
    return;
  }
  caller.is_probing = true;
  const auto round = std::make_shared<ProbeRound>();
  round->caller = &caller;
  round->gateway = caller.gateway;
  round->stream_class = stream_class;
  round->began = fleet.now;
  for (const auto& [waiting, count] : counts) {
    round->waiting.push_back({.stream_class = waiting, .count = count});
  }
  std::vector<size_t> ranks(fleet.ranks.size());
  std::iota(ranks.begin(), ranks.end(), size_t{0});
  std::ranges::shuffle(ranks, fleet.random);
  ranks.resize(kProbes);
  for (const size_t rank : ranks) {
    SendDatagram(fleet,
                 [&fleet, rank, round] { AnswerProbe(fleet, rank, round); });
  }
  RunAfter(fleet, kProbeWait, [&fleet, round] { Decide(fleet, *round); });
}

void ServeWaiting(SimulatedFleet& fleet, SimulatedGateway& gateway) {
  std::ranges::stable_sort(gateway.waiting, [&](const auto* l, const auto* r) {
    return is_before(*l, *r, fleet.now);
  });
  std::array<bool, 2> full{};
  for (Caller* caller : std::vector(gateway.waiting)) {
    bool& is_full = full.at(ClassOf(*caller, fleet.now).is_late ? 1 : 0);
    if (!is_full) {
      TrySend(fleet, gateway, *caller);
    }
    if (!caller->is_probing) {
      is_full = true;
      if (caller->wait.ends <= fleet.now) {
        Refuse(fleet, *caller);
      }
    }
  }
}

void Attempt(SimulatedFleet& fleet, Caller& caller) {
  do {
    caller.gateway = fleet.random() % fleet.gateways.size();
  } while (!fleet.gateways[caller.gateway].is_alive);
  SimulatedGateway& gateway = fleet.gateways[caller.gateway];
  caller.wait = gateway::PlanWait(
      {.is_streaming = true,
       .is_retry = caller.is_retry,
       .objective = kKinds[caller.priority].objective,
       .allowed = caller.requested_at + kCallerTime - fleet.now,
       .event_timeout = kKinds[caller.priority].event_timeout},
      fleet.now);
  if (std::ranges::none_of(gateway.waiting, [&](const Caller* other) {
        return !other->is_probing && !is_before(caller, *other, fleet.now);
      })) {
    TrySend(fleet, gateway, caller);
  }
  if (caller.is_probing || !RefuseIfUnservable(fleet, caller)) {
    gateway.waiting.push_back(&caller);
  }
}

void ArriveNext(SimulatedFleet& fleet, size_t priority) {
  const double rate = kKinds[priority].per_second_and_rank *
                      static_cast<double>(fleet.ranks.size()) *
                      fleet.load[priority];
  const std::chrono::duration<double> wait(
      std::exponential_distribution<double>(rate)(fleet.random));
  RunAfter(fleet, std::chrono::duration_cast<Duration>(wait),
           [&fleet, priority] {
             fleet.callers.push_back(
                 {.priority = priority, .requested_at = fleet.now});
             Attempt(fleet, fleet.callers.back());
             ArriveNext(fleet, priority);
           });
}

void ServePeriodically(SimulatedFleet& fleet, SimulatedGateway& gateway) {
  ServeWaiting(fleet, gateway);
  RunAfter(fleet, kServeInterval, [&] { ServePeriodically(fleet, gateway); });
}

void PollPeriodically(SimulatedFleet& fleet) {
  std::vector<uint32_t> running(fleet.ranks.size(), 0);
  for (const Caller* caller : fleet.running) {
    ++running[caller->rank];
  }
  for (size_t index = 0; index < fleet.ranks.size(); ++index) {
    SimulatedRank& rank = fleet.ranks[index];
    const admission::RankLoad& before = rank.admission.reported;
    const bool is_change =
        before.is_open != fleet.is_open || before.epoch != fleet.epoch;
    if (is_change && fleet.is_open) {
      HandleOpened(rank.rates, fleet.now);
    } else if (is_change) {
      HandleClosed(rank.rates);
    }
    RecordReport(
        rank.admission,
        {.epoch = fleet.epoch,
         .step = static_cast<uint64_t>(fleet.now.time_since_epoch() / kPass),
         .running = running[index],
         .is_open = fleet.is_open},
        fleet.now);
  }
  RunAfter(fleet, kPollInterval, [&fleet] { PollPeriodically(fleet); });
}

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetSettings& settings, uint64_t seed)
    : settings(settings),
      random(seed),
      gateways(settings.gateways),
      ranks(settings.ranks) {
  for (SimulatedRank& rank : this->ranks) {
    rank.admission.settings.slots = 10;
  }
  for (SimulatedGateway& gateway : this->gateways) {
    RunAfter(*this, Duration(this->random() % kServeInterval.count()),
             [this, &gateway] { ServePeriodically(*this, gateway); });
  }
  for (size_t priority = 0; priority < kPriorities; ++priority) {
    ArriveNext(*this, priority);
  }
  PollPeriodically(*this);
}

void RunFor(SimulatedFleet& fleet, Duration time) {
  const TimePoint end = fleet.now + time;
  while (fleet.events.begin()->first <= end) {
    const auto event = fleet.events.extract(fleet.events.begin());
    fleet.now = event.key();
    event.mapped()();
  }
  fleet.now = end;
}

void EndGateway(SimulatedFleet& fleet, size_t index) {
  fleet.gateways[index].is_alive = false;
  for (Caller* caller : std::exchange(fleet.gateways[index].waiting, {})) {
    caller->is_probing = false;
    Retry(fleet, *caller, gateway::kMinRetryDelay);
  }
}

void ReformGroup(SimulatedFleet& fleet, Duration time) {
  fleet.is_open = false;
  ++fleet.epoch;
  for (Caller* caller : std::exchange(fleet.running, {})) {
    Retry(fleet, *caller, gateway::kMinRetryDelay);
  }
  RunAfter(fleet, time, [&fleet] { fleet.is_open = true; });
}

double PermitsPerSecond(const SimulatedFleet& fleet) {
  constexpr double kStreamsPerRank = 7;
  return kStreamsPerRank * static_cast<double>(fleet.ranks.size()) /
         std::chrono::duration<double>(kStreamLifetime).count();
}

Outcome OutcomeOf(const SimulatedFleet& fleet,
                  size_t priority,
                  TimePoint from,
                  TimePoint to) {
  double requests = 0;
  Outcome sum;
  for (const Caller& caller : fleet.callers) {
    if (caller.priority != priority || caller.requested_at < from ||
        caller.requested_at >= to) {
      continue;
    }
    ++requests;
    sum.served += caller.started ? 1 : 0;
    // The first event comes at most two passes after the permit.
    sum.in_time +=
        caller.started && *caller.started + 2 * kPass <=
                              caller.requested_at + kKinds[priority].objective
            ? 1
            : 0;
  }
  const double late_value = kKinds[priority].late_value;
  return {.served = sum.served / requests,
          .in_time = sum.in_time / requests,
          .earned = (sum.in_time + late_value * (sum.served - sum.in_time)) /
                    requests};
}

}  // namespace bramleyspan::scheduling
