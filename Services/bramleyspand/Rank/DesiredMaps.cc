#include "Services/bramleyspand/Rank/DesiredMaps.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

constexpr Duration kRepeatAfter = std::chrono::milliseconds(30);
// Besides its transmission time: a map that was sent and is not reported after
// so long may be lost.
constexpr Duration kRepeatMapAfter = std::chrono::milliseconds(80);
constexpr double kMapShareOfLink = 0.5;
// The members of a group seldom change.
constexpr Duration kServersInterval = std::chrono::milliseconds(500);

// Datagrams may arrive out of order: an older desired map must not replace a
// newer one.
bool is_older(const membership::wire::MapWishT& desired_map,
              const mapswitch::DesiredMap& known) {
  if (desired_map.version != known.version) {
    return desired_map.version < known.version;
  }
  return known.arm_step > desired_map.arm_step ||
         known.hold_step > desired_map.hold_step ||
         (known.is_released && !desired_map.is_released) ||
         (known.is_aborted && !desired_map.is_aborted);
}

bool is_different(const membership::wire::MapWishT& desired_map,
                  const mapswitch::DesiredMap& known) {
  return known.version != desired_map.version ||
         known.hold_step != desired_map.hold_step ||
         known.arm_step != desired_map.arm_step ||
         known.is_held != desired_map.is_held ||
         known.is_released != desired_map.is_released ||
         known.is_aborted != desired_map.is_aborted;
}

}  // namespace

void DesiredMapSender::SendIfDue(TimePoint now) {
  const mapswitch::MapSwitch& map_switch = this->state.map_switch;
  const bool is_new =
      map_switch.phase != this->sent_phase ||
      map_switch.desired_map.version != this->sent_version ||
      map_switch.desired_map.hold_step != this->sent_hold_step ||
      map_switch.desired_map.is_aborted != this->sent_is_aborted;
  if (!is_new && now - this->sent_at < kRepeatAfter) {
    return;
  }
  this->sent_at = now;
  this->sent_phase = map_switch.phase;
  this->sent_version = map_switch.desired_map.version;
  this->sent_hold_step = map_switch.desired_map.hold_step;
  this->sent_is_aborted = map_switch.desired_map.is_aborted;
  if (map_switch.phase == mapswitch::SwitchPhase::kIdle) {
    this->state.desired_map.reset();
    return;
  }
  this->state.desired_map = mapswitch::DesiredMapFor(map_switch, 0);
  this->SendTo(mapswitch::DesiredMapFor(map_switch, 1), this->state.ranks,
               this->ServersIfDue(now), now);
}

std::vector<std::string> DesiredMapSender::ServersIfDue(TimePoint now) {
  std::vector<std::string> servers;
  if (now - this->servers_sent_at > kServersInterval) {
    this->servers_sent_at = now;
    for (const auto& [rank, info] : this->state.ranks) {
      servers.push_back(Format(info.server));
    }
  }
  return servers;
}

const EncodedMap& DesiredMapSender::EncodeMap(
    const mapswitch::DesiredMap& desired_map) {
  const VersionedMap& base = this->state.map_in_force;
  const bool is_encoded = this->encoded.version == desired_map.version &&
                          this->encoded.epoch == desired_map.epoch &&
                          this->encoded.base == base.version;
  if (is_encoded) {
    return this->encoded;
  }
  const std::string& group = this->state.own->group;
  this->encoded = {.version = desired_map.version,
                   .epoch = desired_map.epoch,
                   .base = base.version,
                   .complete = membership::Encode(ToWire(desired_map, group)),
                   .changes = ""};
  auto changes = ToWireAsChanges(desired_map, group, base);
  if (changes) {
    this->encoded.changes = membership::Encode(*std::move(changes));
  }
  this->queue.clear();
  this->queued_bytes = 0;
  return this->encoded;
}

Duration DesiredMapSender::TransmissionTime(size_t bytes) const {
  const double rate =
      kMapShareOfLink * this->state.fleet().link_bytes_per_second;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / std::max(1.0, rate)));
}

void DesiredMapSender::SendTo(const mapswitch::DesiredMap& desired_map,
                              std::map<uint32_t, RankInfo>& ranks,
                              const std::vector<std::string>& servers,
                              TimePoint now) {
  mapswitch::DesiredMap without_map = desired_map;
  without_map.map.clear();
  auto wire = ToWire(without_map, this->state.own->group);
  wire.servers = servers;
  const std::string encoded_without_map = membership::Encode(std::move(wire));
  const bool has_map = !desired_map.map.empty();
  const EncodedMap* map = has_map ? &this->EncodeMap(desired_map) : nullptr;
  const Duration repeat_after =
      kRepeatMapAfter +
      (has_map ? this->TransmissionTime(map->complete.size()) : Duration(0));
  std::set<std::string> sent_ips;
  for (auto& [rank, info] : ranks) {
    // If several ranks have the same address, the lowest is the leader, which
    // forwards the message to the others.
    if (rank == this->state.own->rank || !sent_ips.insert(info.ip).second) {
      continue;
    }
    this->state.datagrams->Send(info.ip, encoded_without_map);
    const bool was_sent = info.sent_version == desired_map.version &&
                          now - info.map_sent_at <= repeat_after;
    if (!has_map || info.received_version == desired_map.version || was_sent) {
      continue;
    }
    const bool has_base =
        info.base_version == map->base && !map->changes.empty();
    const std::string& bytes = has_base ? map->changes : map->complete;
    info.sent_version = desired_map.version;
    info.map_sent_at = now + this->TransmissionTime(this->queued_bytes);
    this->queue.push_back({.ip = info.ip, .bytes = bytes});
    this->queued_bytes += bytes.size();
  }
  if (!this->is_sending) {
    this->SendQueued();
  }
}

void DesiredMapSender::SendQueued() {
  this->is_sending = !this->queue.empty();
  if (!this->is_sending) {
    return;
  }
  const QueuedMap next = std::move(this->queue.front());
  this->queue.pop_front();
  this->queued_bytes -= next.bytes.size();
  this->state.datagrams->Send(next.ip, next.bytes);
  this->state.loop.RunAfter(TransmissionTime(next.bytes.size()),
                            [this] { this->SendQueued(); });
}

DesiredMapResult ApplyDesiredMap(RankState& state,
                                 const membership::wire::MapWishT& desired_map,
                                 TimePoint now) {
  if (!state.own || desired_map.group != state.own->group ||
      desired_map.epoch != state.own->epoch || state.is_owner()) {
    return DesiredMapResult::kRefused;
  }
  state.owner_last_received = now;
  if (!desired_map.servers.empty()) {
    state.group_servers.clear();
    state.servers_to_forward = desired_map.servers;
  }
  for (const std::string& server : desired_map.servers) {
    const auto address = ParseAddress(server);
    if (address.has_value()) {
      state.group_servers.push_back(address.value());
    }
  }
  const auto& known = state.desired_map;
  if (known && is_older(desired_map, *known)) {
    return DesiredMapResult::kRefused;
  }
  mapswitch::DesiredMap received =
      FromWire(desired_map, state.own->size, state.map_in_force);
  const bool has_gained_map =
      !received.map.empty() &&
      (!known || known->version != received.version || known->map.empty());
  const bool is_new =
      !known || is_different(desired_map, *known) || has_gained_map;
  if (received.map.empty() && known && known->version == received.version) {
    received.map = known->map;
  }
  state.desired_map = std::move(received);
  return is_new ? DesiredMapResult::kNew : DesiredMapResult::kKnown;
}

}  // namespace bramleyspan::rankd
