#include "Tests/LibMembership/SimulatedFleet.h"

#include <algorithm>
#include <memory>

namespace bramleyspan::membership {

namespace {

constexpr uint64_t kIpAndUdpHeaderBytes = 28;

std::string IpOf(size_t member) {
  return "10.0." + std::to_string(member / 250) + "." +
         std::to_string(member % 250 + 1);
}

size_t MemberIndexOf(const std::string& ip) {
  const size_t dot = ip.rfind('.');
  return std::stoul(ip.substr(5, dot - 5)) * 250 +
         std::stoul(ip.substr(dot + 1)) - 1;
}

std::string NameOf(size_t member) {
  return "gateway-" + std::to_string(member);
}

}  // namespace

SimulatedFleet::SimulatedFleet(const std::vector<size_t>& zones, uint64_t seed)
    : random(seed) {
  std::vector<std::string> seeds;
  for (size_t zone = 0; zone < zones.size(); ++zone) {
    seeds.push_back(IpOf(this->members.size()));
    for (size_t i = 0; i < zones[zone]; ++i) {
      const size_t member = this->members.size();
      Gateway gateway;
      gateway.self.name = NameOf(member);
      gateway.self.is_entry = true;
      gateway.self.is_ready = true;
      gateway.self.zone = "zone-" + std::to_string(zone);
      gateway.self.ip = IpOf(member);
      gateway.self.incarnation = this->random();
      gateway.self.caller_address = IpOf(member) + ":8080";
      gateway.members.own_name = gateway.self.name;
      gateway.members.own_zone = gateway.self.zone;
      gateway.next =
          this->now + this->random() % kHeartbeatInterval.count() * Duration(1);
      this->members.push_back(std::move(gateway));
    }
  }
  for (Gateway& gateway : this->members) {
    gateway.was_live.resize(this->members.size());
    for (const std::string& ip : seeds) {
      if (ip != gateway.self.ip) {
        gateway.members.seed_addresses[ip] = this->now;
      }
    }
  }
}

void SimulatedFleet::RunFor(Duration time) {
  const TimePoint end = this->now + time;
  while (this->now < end) {
    auto next = std::min_element(this->members.begin(), this->members.end(),
                                 [](const Gateway& left, const Gateway& right) {
                                   return left.next < right.next;
                                 });
    this->now = std::max(this->now, next->next);
    next->next = this->now + kHeartbeatInterval;
    if (next->is_up) {
      RemoveExpired(next->members, this->now);
      this->CountSuspicions(*next);
      this->SendHeartbeat(*next);
    }
  }
}

void SimulatedFleet::SendHeartbeat(Gateway& gateway) {
  AdvanceOwnRecord(gateway.members, gateway.self);
  wire::HeartbeatT heartbeat;
  heartbeat.members.push_back(std::make_unique<wire::MemberT>(gateway.self));
  for (const wire::MemberT* member :
       RecordsToSend(gateway.members, this->now)) {
    heartbeat.members.push_back(std::make_unique<wire::MemberT>(*member));
  }
  heartbeat.signs = DigestsToSend(gateway.members, this->now);
  wire::HeartbeatT delivered = heartbeat;
  const uint64_t bytes =
      Encode(std::move(heartbeat)).size() + kIpAndUdpHeaderBytes;
  for (const std::string& ip :
       PeersForHeartbeat(gateway.members, gateway.round)) {
    gateway.sent += bytes;
    Gateway& peer = this->members[MemberIndexOf(ip)];
    const bool is_lost =
        static_cast<int>(this->random() % 100) < this->loss_percent ||
        !peer.is_up;
    if (is_lost) {
      continue;
    }
    peer.received += bytes;
    for (const auto& member : delivered.members) {
      Merge(peer.members, *member, member->ip == gateway.self.ip, this->now);
    }
    this->Query(peer, gateway,
                ApplyDigests(peer.members, delivered.signs, this->now));
  }
  ++gateway.round;
}

void SimulatedFleet::Query(Gateway& requester,
                           Gateway& responder,
                           const std::vector<uint32_t>& keys) {
  if (keys.empty()) {
    return;
  }
  wire::HeartbeatT answer;
  for (const wire::MemberT* member : FindByKeys(responder.members, keys)) {
    Merge(requester.members, *member, false, this->now);
    answer.members.push_back(std::make_unique<wire::MemberT>(*member));
  }
  const uint64_t bytes =
      Encode(std::move(answer)).size() + kIpAndUdpHeaderBytes;
  responder.sent += bytes;
  requester.received += bytes;
}

void SimulatedFleet::CountSuspicions(Gateway& gateway) {
  for (const auto& [name, known] : gateway.members.known) {
    const size_t other = MemberIndexOf(known.member.ip);
    const bool is_live = is_alive(known, this->now);
    if (gateway.was_live[other] && !is_live && this->members[other].is_up) {
      ++this->false_suspicions;
    }
    gateway.was_live[other] = is_live;
  }
}

void SimulatedFleet::Kill(size_t member) {
  this->members[member].is_up = false;
}

void SimulatedFleet::SetReady(size_t member, bool is_ready) {
  this->members[member].self.is_ready = is_ready;
}

void SimulatedFleet::Restart(size_t member) {
  Gateway& gateway = this->members[member];
  gateway.is_up = true;
  gateway.self.incarnation = this->random();
  gateway.self.counter = 0;
  gateway.members.own = {};
}

size_t SimulatedFleet::CountLivePeers(size_t member) const {
  return LiveGateways(this->members[member].members, this->now).size();
}

bool SimulatedFleet::is_live_for(size_t member, size_t other) const {
  const auto& known = this->members[other].members.known;
  const auto found = known.find(NameOf(member));
  return found != known.end() && is_alive(found->second, this->now) &&
         found->second.member.incarnation ==
             this->members[member].self.incarnation;
}

double SimulatedFleet::BytesPerSecond() const {
  uint64_t busiest = 0;
  for (const Gateway& gateway : this->members) {
    busiest = std::max({busiest, gateway.sent, gateway.received});
  }
  return static_cast<double>(busiest) /
         std::chrono::duration<double>(this->now - this->started_at).count();
}

}  // namespace bramleyspan::membership
