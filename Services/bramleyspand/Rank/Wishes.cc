#include "Services/bramleyspand/Rank/Wishes.h"

#include <utility>

#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

constexpr Duration kRepeatAfter = std::chrono::milliseconds(30);
// The map may have been lost on its way. In a large group it takes a while to
// leave: 31 maps of 2.4 KB are 75 ms of a link of 8 Mbit/s, and repeating them
// sooner kept the link so full that no group of 32 ever prepared a map.
constexpr Duration kRepeatMapAfter = std::chrono::milliseconds(60);
constexpr Duration kRepeatMapPerRank = std::chrono::milliseconds(5);
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
  this->Send(now);
}

// The map goes only to those that do not have it yet: it is by far the most of
// a wish, and a wish is said many times.
void WishTeller::Send(TimePoint now) {
  mapswitch::Wish wish = mapswitch::WishFor(this->state.map_switch, 1);
  auto with_map = ToWire(wish, this->state.own->group);
  if (now - this->servers_told > kServersInterval) {
    this->servers_told = now;
    for (const auto& [rank, info] : this->state.ranks) {
      with_map.servers.push_back(Format(info.server));
    }
  }
  const Duration repeat_after =
      kRepeatMapAfter + kRepeatMapPerRank * this->state.ranks.size();
  const std::string whole = membership::Encode(std::move(with_map));
  wish.map.clear();
  const std::string brief =
      membership::Encode(ToWire(wish, this->state.own->group));
  for (auto& [rank, info] : this->state.ranks) {
    if (rank == 0) {
      continue;
    }
    const bool was_told = info.told_version == wish.version &&
                          now - info.map_told <= repeat_after;
    const bool needs_map = info.wish_version != wish.version && !was_told;
    if (needs_map) {
      info.told_version = wish.version;
      info.map_told = now;
    }
    this->state.datagrams->Send({info.ip, this->state.fleet().peer_port},
                                needs_map ? whole : brief);
  }
}

bool TakeWish(RankState& state,
              const membership::wire::MapWishT& wish,
              TimePoint now) {
  if (!state.own || wish.group != state.own->group ||
      wish.epoch != state.own->epoch || state.is_owner()) {
    return false;
  }
  state.owner_heard = now;
  if (!wish.servers.empty()) {
    state.group_servers.clear();
  }
  for (const std::string& server : wish.servers) {
    const auto address = ParseAddress(server);
    if (address.has_value()) {
      state.group_servers.push_back(address.value());
    }
  }
  const auto& known = state.wish;
  if (known && is_older(wish, *known)) {
    return false;
  }
  const bool is_new = !known || is_different(wish, *known);
  mapswitch::Wish heard = FromWire(wish, state.own->size);
  if (heard.map.empty() && known && known->version == heard.version) {
    heard.map = known->map;
  }
  state.wish = std::move(heard);
  return is_new;
}

}  // namespace bramleyspan::rankd
