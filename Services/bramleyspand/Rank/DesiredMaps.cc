#include "Services/bramleyspand/Rank/DesiredMaps.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

constexpr Duration kRepeatAfter = std::chrono::milliseconds(30);
// A map that went out and was not reported for so long, besides the time that
// it takes on the link, may be lost.
constexpr Duration kRepeatMapAfter = std::chrono::milliseconds(80);
constexpr double kMapPartOfLink = 0.5;
// Who is in the group changes seldom.
constexpr Duration kServersInterval = std::chrono::milliseconds(500);

// Datagrams overtake each other: an older wish must not replace a newer one.
bool is_older(const membership::wire::MapWishT& wish,
              const mapswitch::Wish& known) {
  if (wish.version != known.version) {
    return wish.version < known.version;
  }
  return known.arm_step > wish.arm_step || known.hold_step > wish.hold_step ||
         (known.is_released && !wish.is_released);
}

bool is_different(const membership::wire::MapWishT& wish,
                  const mapswitch::Wish& known) {
  return known.version != wish.version || known.hold_step != wish.hold_step ||
         known.arm_step != wish.arm_step ||
         known.is_released != wish.is_released;
}

}  // namespace

void WishTeller::Tell(TimePoint now) {
  const mapswitch::MapSwitch& map_switch = this->state.map_switch;
  const bool is_new = map_switch.phase != this->told_phase ||
                      map_switch.wish.version != this->told_version ||
                      map_switch.wish.hold_step != this->told_hold;
  if (!is_new && now - this->told_at < kRepeatAfter) {
    return;
  }
  this->told_at = now;
  this->told_phase = map_switch.phase;
  this->told_version = map_switch.wish.version;
  this->told_hold = map_switch.wish.hold_step;
  if (map_switch.phase == mapswitch::SwitchPhase::kIdle) {
    this->state.wish.reset();
    return;
  }
  this->state.wish = mapswitch::WishFor(map_switch, 0);
  this->Pass(mapswitch::WishFor(map_switch, 1), this->state.ranks,
             this->ServersIfDue(now), now);
}

std::vector<std::string> WishTeller::ServersIfDue(TimePoint now) {
  std::vector<std::string> servers;
  if (now - this->servers_told > kServersInterval) {
    this->servers_told = now;
    for (const auto& [rank, info] : this->state.ranks) {
      servers.push_back(Format(info.server));
    }
  }
  return servers;
}

const MapAsTold& WishTeller::Describe(const mapswitch::Wish& wish) {
  const HeldMap& base = this->state.map_in_force;
  const bool is_described = this->told.version == wish.version &&
                            this->told.epoch == wish.epoch &&
                            this->told.base == base.version;
  if (is_described) {
    return this->told;
  }
  const std::string& group = this->state.own->group;
  this->told = {.version = wish.version,
                .epoch = wish.epoch,
                .base = base.version,
                .whole = membership::Encode(ToWire(wish, group)),
                .changes = ""};
  auto changes = ToWireAsChanges(wish, group, base);
  if (changes) {
    this->told.changes = membership::Encode(*std::move(changes));
  }
  this->queue.clear();
  this->queued_bytes = 0;
  return this->told;
}

Duration WishTeller::TimeFor(size_t bytes) const {
  const double rate =
      kMapPartOfLink * this->state.fleet().link_bytes_per_second;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / std::max(1.0, rate)));
}

void WishTeller::Pass(const mapswitch::Wish& wish,
                      std::map<uint32_t, RankInfo>& ranks,
                      const std::vector<std::string>& servers,
                      TimePoint now) {
  mapswitch::Wish without_map = wish;
  without_map.map.clear();
  auto wire = ToWire(without_map, this->state.own->group);
  wire.servers = servers;
  const std::string brief = membership::Encode(std::move(wire));
  const bool has_map = !wish.map.empty();
  const MapAsTold* map = has_map ? &this->Describe(wish) : nullptr;
  const Duration repeat_after =
      kRepeatMapAfter +
      (has_map ? this->TimeFor(map->whole.size()) : Duration(0));
  std::set<std::string> told_ips;
  for (auto& [rank, info] : ranks) {
    // Of the ranks behind one address the leader comes first; it sees to the
    // others.
    if (rank == this->state.own->rank || !told_ips.insert(info.ip).second) {
      continue;
    }
    this->state.datagrams->Send(info.ip, brief);
    const bool was_told = info.told_version == wish.version &&
                          now - info.map_told <= repeat_after;
    if (!has_map || info.wish_version == wish.version || was_told) {
      continue;
    }
    const bool has_base =
        info.base_version == map->base && !map->changes.empty();
    const std::string& bytes = has_base ? map->changes : map->whole;
    info.told_version = wish.version;
    info.map_told = now + this->TimeFor(this->queued_bytes);
    this->queue.push_back({.ip = info.ip, .bytes = bytes});
    this->queued_bytes += bytes.size();
  }
  if (!this->is_sending) {
    this->SendQueued();
  }
}

void WishTeller::SendQueued() {
  this->is_sending = !this->queue.empty();
  if (!this->is_sending) {
    return;
  }
  const QueuedMap next = std::move(this->queue.front());
  this->queue.pop_front();
  this->queued_bytes -= next.bytes.size();
  this->state.datagrams->Send(next.ip, next.bytes);
  this->state.loop.RunAfter(TimeFor(next.bytes.size()),
                            [this] { this->SendQueued(); });
}

Taking TakeWish(RankState& state,
                const membership::wire::MapWishT& wish,
                TimePoint now) {
  if (!state.own || wish.group != state.own->group ||
      wish.epoch != state.own->epoch || state.is_owner()) {
    return Taking::kRefused;
  }
  state.owner_heard = now;
  if (!wish.servers.empty()) {
    state.group_servers.clear();
    state.servers_heard = wish.servers;
  }
  for (const std::string& server : wish.servers) {
    const auto address = ParseAddress(server);
    if (address.has_value()) {
      state.group_servers.push_back(address.value());
    }
  }
  const auto& known = state.wish;
  if (known && is_older(wish, *known)) {
    return Taking::kRefused;
  }
  mapswitch::Wish heard = FromWire(wish, state.own->size, state.map_in_force);
  const bool has_gained_map =
      !heard.map.empty() &&
      (!known || known->version != heard.version || known->map.empty());
  const bool is_new = !known || is_different(wish, *known) || has_gained_map;
  if (heard.map.empty() && known && known->version == heard.version) {
    heard.map = known->map;
  }
  state.wish = std::move(heard);
  return is_new ? Taking::kNew : Taking::kKnown;
}

}  // namespace bramleyspan::rankd
