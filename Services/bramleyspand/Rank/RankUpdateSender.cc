#include "Services/bramleyspand/Rank/RankUpdateSender.h"

#include <memory>
#include <utility>

#include "LibMembership/Members.h"
#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

// Every eighth update includes the lists of the rank's experts: the owner needs
// them once for each map, and a lost datagram should not delay them by more
// than a second.
constexpr uint64_t kUpdatesPerLists = 8;
// Allows for some lost heartbeats of the leader.
constexpr Duration kLeaderTimeout = 7 * Leader::kHeartbeatInterval / 2;
// An older report says nothing of the rank's present state.
constexpr Duration kStale = std::chrono::seconds(1);

}  // namespace

membership::wire::RankNewsT RankUpdateSender::MakeUpdate() {
  membership::wire::RankNewsT update;
  update.status = std::make_unique<membership::wire::RankStatusT>(
      ToWire(*this->state.own, *this->state.fleet().engine));
  auto packed =
      placement::PackCounts(std::exchange(this->state.new_counts, {}));
  update.counts = std::move(packed.counts);
  update.count_unit = packed.unit;
  update.wish_version =
      this->state.desired_map && !this->state.desired_map->map.empty()
          ? this->state.desired_map->version
          : 0;
  if (this->state.last_counts) {
    update.counts_epoch = this->state.last_counts->epoch;
    update.counts_step = this->state.last_counts->step;
  }
  const VersionedMap& in_force = this->state.map_in_force;
  const bool has_base = in_force.epoch == this->state.own->epoch &&
                        in_force.version == this->state.own->map;
  update.base_version = has_base ? in_force.version : 0;
  const bool is_known = this->state.own_held.version == this->state.own->map;
  if (is_known && ++this->update_count % kUpdatesPerLists == 0) {
    for (const auto& set : this->state.own_held.sets) {
      update.lengths.push_back(static_cast<uint16_t>(set.size()));
      update.experts.insert(update.experts.end(), set.begin(), set.end());
    }
  }
  return update;
}

void RankUpdateSender::SendUpdateIfDue() {
  const TimePoint now = EventLoop::Now();
  const bool has_counts = !this->state.new_counts.empty();
  if (!mapswitch::is_update_due(this->last_update, *this->state.own, has_counts,
                                now)) {
    return;
  }
  this->SendUpdate();
}

void RankUpdateSender::SendUpdate() {
  const TimePoint now = EventLoop::Now();
  this->last_update = {.sent_status = *this->state.own, .sent_at = now};
  membership::wire::RankNewsT update = this->MakeUpdate();
  if (this->state.is_owner()) {
    this->on_own_update(update);
    return;
  }
  if (this->leader.is_leading()) {
    this->leader.HandleUpdate(this->state.settings.ip, std::move(update));
    return;
  }
  const std::string bytes = membership::Encode(std::move(update));
  for (const std::string& ip : this->ParentIps(now)) {
    this->state.datagrams->Send(ip, bytes);
  }
}

void RankUpdateSender::IncludeListsSoon() {
  this->update_count = kUpdatesPerLists - 2;
}

// Returns the address of the parent, and the owner's too if no leader
// represents the rank.
std::set<std::string> RankUpdateSender::ParentIps(TimePoint now) const {
  std::set<std::string> ips{this->state.FindParentIp(
      mapswitch::ParentOf(this->state.tree(), this->state.own->rank))};
  if (!this->is_represented(now)) {
    ips.insert(this->state.FindParentIp(0));
  }
  ips.erase("");
  return ips;
}

bool RankUpdateSender::is_represented(TimePoint now) const {
  return this->state.own &&
         mapswitch::ParentOf(this->state.tree(), this->state.own->rank) != 0 &&
         now - this->state.leader_last_received <= kLeaderTimeout;
}

void RankUpdateSender::RecordSender(const std::string& from_ip) {
  if (!this->state.own) {
    return;
  }
  const uint32_t parent =
      mapswitch::ParentOf(this->state.tree(), this->state.own->rank);
  if (parent != 0 && this->state.FindParentIp(parent) == from_ip) {
    this->state.leader_last_received = EventLoop::Now();
  }
}

std::string RankUpdateSender::EncodeOwnRank() {
  membership::wire::HeartbeatT heartbeat;
  auto self = std::make_unique<membership::wire::MemberT>();
  self->name = this->state.settings.name;
  self->zone = this->state.settings.zone;
  self->ip = this->state.settings.ip;
  self->incarnation = this->state.incarnation;
  self->counter = ++this->counter;
  if (this->state.own &&
      EventLoop::Now() - this->state.own_received_at < kStale) {
    self->rank = std::make_unique<membership::wire::RankStatusT>(
        ToWireForGateways(*this->state.own, *this->state.fleet().engine));
  }
  heartbeat.members.push_back(std::move(self));
  return membership::Encode(std::move(heartbeat));
}

std::string RankUpdateSender::EncodeRanks() {
  return this->leader.is_leading()
             ? membership::Encode(this->leader.Summarize(EventLoop::Now()))
             : this->EncodeOwnRank();
}

void RankUpdateSender::SendToGateways() {
  if (this->is_represented(EventLoop::Now())) {
    return;
  }
  const std::string bytes = this->EncodeRanks();
  for (const std::string& ip : this->GatewayIps()) {
    this->state.datagrams->Send(ip, bytes);
  }
}

void RankUpdateSender::SendToGateway(const std::string& ip) {
  if (!this->is_represented(EventLoop::Now())) {
    this->state.datagrams->Send(ip, this->EncodeRanks());
  }
}

void RankUpdateSender::SendOwnRankTo(const std::string& gateway_ip) {
  this->state.datagrams->Send(gateway_ip, this->EncodeOwnRank());
}

std::set<std::string> RankUpdateSender::GatewayIps() const {
  std::set<std::string> ips(this->state.fleet().seeds.begin(),
                            this->state.fleet().seeds.end());
  for (const auto& [name, known] : this->state.members.known) {
    if (known.member.is_entry) {
      ips.insert(known.member.ip);
    }
  }
  return ips;
}

}  // namespace bramleyspan::rankd
