#include "Tests/LibGateway/SimulatedGateways.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kBegin{seconds(1000)};
constexpr Duration kOneWay = std::chrono::microseconds(700);
constexpr Duration kHeartbeatInterval = milliseconds(200);
// As LibMembership counts live gateways, and those that may be running.
constexpr Duration kLive = milliseconds(1300);
constexpr Duration kMayBeRunning = seconds(10);
const std::string kTarget = "target";

}  // namespace

SimulatedGateways::SimulatedGateways(const SimulatedLoad& load)
    : load(load), random(load.seed), now(kBegin), gateways(load.gateways) {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    Gateway& gateway = this->gateways[i];
    gateway.name = "gateway-" + std::to_string(i);
    gateway.heard.assign(this->gateways.size(), kBegin);
    this->SetLimitAt(gateway);
    const double share = load.limit / static_cast<double>(load.gateways);
    gateway.even_share = {.rate = share,
                          .capacity = std::max(1.0, share / 2),
                          .level = 1,
                          .filled_at = kBegin};
  }
  this->HeartbeatAll();
  this->Arrive();
}

void SimulatedGateways::At(Duration time, std::function<void()> event) {
  this->events.emplace(kBegin + time, std::move(event));
}

void SimulatedGateways::SetLimitAt(Gateway& gateway) const {
  if (this->load.is_cold) {
    SetWarmUp(gateway.limit, this->load.limit, kBegin + this->load.run_time,
              this->now);
  } else {
    MergeRateLimit(gateway.limit, this->load.limit, this->now, this->now);
  }
}

void SimulatedGateways::Kill(size_t gateway) {
  this->gateways[gateway].is_alive = false;
}

void SimulatedGateways::Restart(size_t gateway) {
  this->gateways[gateway].limit = {};
  this->SetLimitAt(this->gateways[gateway]);
}

void SimulatedGateways::KillAllocator() {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    if (this->gateways[i].is_alive) {
      this->Kill(this->AllocatorAt(i));
      return;
    }
  }
}

void SimulatedGateways::Partition(size_t first) {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    this->gateways[i].is_apart = i >= first;
  }
}

void SimulatedGateways::Run() {
  const TimePoint end = kBegin + this->load.run_time;
  while (!this->events.empty() && this->events.begin()->first < end) {
    const auto event = this->events.extract(this->events.begin());
    this->now = event.key();
    event.mapped()();
  }
}

size_t SimulatedGateways::MostIn(Duration span, Duration begin) const {
  size_t most = 0;
  auto first = std::ranges::lower_bound(this->times, begin);
  for (; first != this->times.end(); ++first) {
    const auto last = std::upper_bound(first, this->times.end(), *first + span);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

bool SimulatedGateways::CanReach(size_t from, size_t to) const {
  const Gateway& left = this->gateways[from];
  const Gateway& right = this->gateways[to];
  return left.is_alive && right.is_alive && left.is_apart == right.is_apart;
}

std::vector<size_t> SimulatedGateways::LiveAt(size_t gateway) const {
  std::vector<size_t> live;
  for (size_t other = 0; other < this->gateways.size(); ++other) {
    const Duration age = this->now - this->gateways[gateway].heard[other];
    if (other == gateway || age <= kLive) {
      live.push_back(other);
    }
  }
  return live;
}

size_t SimulatedGateways::AllocatorAt(size_t gateway) const {
  std::vector<std::string> names;
  for (const size_t live : this->LiveAt(gateway)) {
    names.push_back(this->gateways[live].name);
  }
  const std::string name = limits::AllocatorOf(kTarget, names);
  const auto found = std::ranges::find(this->gateways, name, &Gateway::name);
  return static_cast<size_t>(found - this->gateways.begin());
}

RateSharing SimulatedGateways::SharingAt(size_t gateway) const {
  const auto& heard = this->gateways[gateway].heard;
  const auto all = std::ranges::count_if(
      heard, [this](TimePoint at) { return this->now - at <= kMayBeRunning; });
  return {.reached = this->LiveAt(gateway).size(),
          .all = static_cast<size_t>(all)};
}

void SimulatedGateways::HeartbeatAll() {
  for (size_t from = 0; from < this->gateways.size(); ++from) {
    for (size_t to = 0; to < this->gateways.size(); ++to) {
      if (this->CanReach(from, to)) {
        this->gateways[to].heard[from] = this->now;
      }
    }
  }
  this->events.emplace(this->now + kHeartbeatInterval,
                       [this] { this->HeartbeatAll(); });
}

void SimulatedGateways::Arrive() {
  const size_t used =
      this->load.used > 0 ? this->load.used : this->gateways.size();
  std::uniform_int_distribution<size_t> any(0, used - 1);
  const size_t gateway = any(this->random);
  if (this->gateways[gateway].is_alive) {
    this->TrySend(gateway);
  }
  const double pause =
      std::exponential_distribution<double>(this->load.requests)(this->random);
  this->events.emplace(this->now + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(pause)),
                       [this] { this->Arrive(); });
}

void SimulatedGateways::TrySend(size_t index) {
  if (this->load.is_evenly_shared) {
    this->TrySendByEvenShare(index);
    return;
  }
  Gateway& gateway = this->gateways[index];
  RateVerdict verdict = AdmitByRate(gateway.limit, this->now);
  if (verdict == RateVerdict::kAskAllocator) {
    const size_t allocator = this->AllocatorAt(index);
    if (allocator != index) {
      ++gateway.waiting;
      this->Ask(index, allocator);
      return;
    }
    const double wanted = StartRateRequest(gateway.limit, 1, this->now);
    HandleRateGrant(
        gateway.limit, gateway.limit.share.request_number,
        GrantRate(gateway.limit, wanted, this->SharingAt(index), this->now),
        this->SharingAt(index), this->now);
    verdict = AdmitByRate(gateway.limit, this->now);
  }
  if (verdict == RateVerdict::kAdmitted) {
    this->times.push_back(this->now - kBegin);
  }
}

void SimulatedGateways::TrySendByEvenShare(size_t index) {
  limits::TokenBucket& bucket = this->gateways[index].even_share;
  limits::Fill(bucket, this->now);
  if (bucket.level >= 1) {
    bucket.level -= 1;
    this->times.push_back(this->now - kBegin);
  }
}

void SimulatedGateways::Ask(size_t index, size_t allocator) {
  Gateway& gateway = this->gateways[index];
  if (gateway.limit.share.is_requesting) {
    return;
  }
  const double wanted = StartRateRequest(
      gateway.limit, static_cast<double>(gateway.waiting), this->now);
  const uint64_t number = gateway.limit.share.request_number;
  this->Send(index, allocator, [this, index, allocator, number, wanted] {
    this->Reply(allocator, index, number, wanted);
  });
  this->events.emplace(this->now + RateRequestTimeout(), [this, index, number] {
    Gateway& asker = this->gateways[index];
    if (asker.limit.share.is_requesting &&
        asker.limit.share.request_number == number) {
      HandleRateTimeout(asker.limit, this->SharingAt(index), this->now);
      this->ServeWaiting(index);
    }
  });
}

void SimulatedGateways::Reply(size_t allocator,
                              size_t index,
                              uint64_t number,
                              double wanted) {
  RateGrant grant{.is_allocator = this->AllocatorAt(allocator) == allocator};
  if (grant.is_allocator) {
    grant = GrantRate(this->gateways[allocator].limit, wanted,
                      this->SharingAt(allocator), this->now);
  }
  this->Send(allocator, index, [this, index, number, grant] {
    HandleRateGrant(this->gateways[index].limit, number, grant,
                    this->SharingAt(index), this->now);
    this->ServeWaiting(index);
  });
}

void SimulatedGateways::ServeWaiting(size_t gateway) {
  const size_t waiting = std::exchange(this->gateways[gateway].waiting, 0);
  for (size_t i = 0; i < waiting; ++i) {
    this->TrySend(gateway);
  }
}

void SimulatedGateways::Send(size_t from,
                             size_t to,
                             std::function<void()> receive) {
  if (std::bernoulli_distribution(this->load.loss)(this->random)) {
    return;
  }
  this->events.emplace(this->now + kOneWay,
                       [this, from, to, receive = std::move(receive)] {
                         if (this->CanReach(from, to)) {
                           receive();
                         }
                       });
}

}  // namespace bramleyspan::gateway
