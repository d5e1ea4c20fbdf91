#include "LibMapSwitch/Switch.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::mapswitch {

namespace {

// A status older than this says nothing of the rank's present state.
constexpr Duration kFresh = std::chrono::milliseconds(400);
// From the first arm to the new map in force at all ranks, on a good day. A
// rest after a longer switch is a multiple of what it took.
constexpr Duration kUsualSwitch = std::chrono::milliseconds(450);
constexpr int kRestFactor = 8;
constexpr Duration kShortestRest = std::chrono::seconds(4);
constexpr Duration kLongestRest = std::chrono::seconds(12);
// A switch that is not prepared in this time is given up: a rank's agent may
// have died, and nothing is held yet.
constexpr Duration kLongestPreparation = std::chrono::seconds(5);
// From the hold until every rank reports that it is armed.
constexpr Duration kUsualArmingTime = std::chrono::milliseconds(40);
constexpr Duration kArmingTimeUnderLoss = std::chrono::milliseconds(150);
constexpr Duration kShortestPass = std::chrono::milliseconds(10);

bool is_fresh(const std::optional<HeardStatus>& rank, TimePoint now) {
  return rank && now - rank->heard <= kFresh;
}

template <typename Predicate>
bool is_all(const MapSwitch& map_switch, TimePoint now, Predicate predicate) {
  return !map_switch.ranks.empty() &&
         std::all_of(map_switch.ranks.begin(), map_switch.ranks.end(),
                     [&](const auto& rank) {
                       return is_fresh(rank, now) &&
                              rank->status.epoch == map_switch.wish.epoch &&
                              predicate(rank->status);
                     });
}

void Enter(MapSwitch& map_switch, SwitchPhase phase, TimePoint now) {
  if (phase == SwitchPhase::kArming) {
    map_switch.arming_since = now;
  }
  map_switch.phase = phase;
  map_switch.since = now;
}

void GiveUp(MapSwitch& map_switch, std::string reason, TimePoint now) {
  map_switch.last_failure = std::move(reason);
  Enter(map_switch, SwitchPhase::kIdle, now);
}

Order OwnOrder(const MapSwitch& map_switch,
               const RankStatus& own,
               OrderBody body) {
  return Order{.epoch = map_switch.wish.epoch,
               .expected_sequence = own.sequence,
               .body = std::move(body)};
}

// Whether so many ranks lose orders that a held group would wait for long. A
// map that is not switched costs less than a group that stands still, and
// where the owner is lost too, requests run on that nobody waits for.
bool is_losing_orders(const MapSwitch& map_switch) {
  constexpr size_t kLeastRanks = 2;
  const auto losing = static_cast<size_t>(std::count_if(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [](const auto& rank) { return rank && rank->status.is_losing_orders; }));
  return losing >= std::max(kLeastRanks, map_switch.ranks.size() / 3 + 1);
}

// How many passes ahead the group is held. A group held at the very next pass
// waits there until the last rank is armed, which made passes of 90 ms last
// 130, and every stream late; with the arms out before the pass is due, nothing
// waits. Orders that get lost are repeated, which takes longer.
Step PassesAhead(const MapSwitch& map_switch) {
  const bool is_any_losing = std::any_of(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [](const auto& rank) { return rank && rank->status.is_losing_orders; });
  const Duration pass = std::max(map_switch.pass, kShortestPass);
  const Duration needed =
      is_any_losing ? kArmingTimeUnderLoss : kUsualArmingTime;
  // The pass under way may end at any moment, so that it does not count.
  const auto passes = 1 + (needed + pass - Duration(1)) / pass;
  return static_cast<Step>(passes);
}

// A restarted agent finds the group held by its predecessor. Arms are sent
// only while every rank has the same map prepared, so that
//   - where a rank is armed for the held pass, its map is the one to finish;
//   - where all have the same map prepared, arms may be on their way: finish;
//   - where they differ, a later switch had begun, whose predecessor was given
//     up before its first arm (the hold came late): let the pass begin.
std::optional<Order> Resume(MapSwitch& map_switch,
                            const RankStatus& own,
                            TimePoint now) {
  map_switch.wish =
      Wish{.epoch = own.epoch, .version = own.prepared, .arm_step = own.held};
  const bool is_all_heard =
      is_all(map_switch, now, [](const RankStatus&) { return true; });
  if (!is_all_heard) {
    return std::nullopt;
  }
  const bool is_same = is_all(map_switch, now, [&own](const RankStatus& rank) {
    return rank.prepared == own.prepared;
  });
  bool is_armed = false;
  for (const auto& rank : map_switch.ranks) {
    if (rank->status.armed_step == own.held) {
      map_switch.wish.version = rank->status.armed;
      is_armed = true;
    }
  }
  if (is_armed || (is_same && own.prepared != 0)) {
    Enter(map_switch, SwitchPhase::kArming, now);
    return std::nullopt;
  }
  if (map_switch.is_deputy) {
    return std::nullopt;
  }
  map_switch.wish.version = own.map;
  Enter(map_switch, SwitchPhase::kReleasing, now);
  return OwnOrder(map_switch, own, Go{.step = own.held});
}

std::optional<Order> ContinuePreparing(MapSwitch& map_switch, TimePoint now) {
  const Version version = map_switch.wish.version;
  if (is_losing_orders(map_switch)) {
    GiveUp(map_switch, "orders get lost", now);
    return std::nullopt;
  }
  if (now - map_switch.since > kLongestPreparation) {
    GiveUp(map_switch, "not prepared in time", now);
    return std::nullopt;
  }
  const bool is_prepared =
      is_all(map_switch, now, [version](const RankStatus& rank) {
        return rank.is_open && rank.prepared == version;
      });
  if (!is_prepared) {
    return std::nullopt;
  }
  Enter(map_switch, SwitchPhase::kHolding, now);
  map_switch.wish.arm_step = 0;
  return std::nullopt;
}

std::optional<Order> ContinueHolding(MapSwitch& map_switch,
                                     const RankStatus& own,
                                     TimePoint now) {
  if (own.held != 0) {
    map_switch.wish.arm_step = own.held;
    Enter(map_switch, SwitchPhase::kArming, now);
    return std::nullopt;
  }
  // Nothing is held yet, and so nothing armed: it is safe to stop here. All
  // agents must be near, or the group would wait for the one that is not.
  const bool is_late = now - map_switch.since > kLongestPreparation;
  if (is_late && !map_switch.is_hold_sent) {
    GiveUp(map_switch, "not held in time", now);
    return std::nullopt;
  }
  const bool is_all_heard =
      is_all(map_switch, now, [](const RankStatus&) { return true; });
  if (!is_all_heard) {
    return std::nullopt;
  }
  // A hold that comes too late is refused and tried again with a later pass.
  map_switch.is_hold_sent = true;
  return OwnOrder(map_switch, own,
                  Hold{.step = own.step + PassesAhead(map_switch)});
}

std::optional<Order> ContinueArming(MapSwitch& map_switch,
                                    const RankStatus& own,
                                    TimePoint now) {
  const Wish& wish = map_switch.wish;
  const bool is_armed =
      is_all(map_switch, now, [&wish](const RankStatus& rank) {
        return rank.armed == wish.version && rank.armed_step == wish.arm_step;
      });
  if (!is_armed) {
    return std::nullopt;
  }
  Enter(map_switch, SwitchPhase::kReleasing, now);
  return OwnOrder(map_switch, own, Go{.step = wish.arm_step});
}

std::optional<Order> ContinueReleasing(MapSwitch& map_switch,
                                       const RankStatus& own,
                                       TimePoint now) {
  if (own.held != 0) {
    return OwnOrder(map_switch, own, Go{.step = own.held});
  }
  const Version version = map_switch.wish.version;
  const bool is_in_force =
      is_all(map_switch, now,
             [version](const RankStatus& rank) { return rank.map == version; });
  if (is_in_force) {
    const Duration took = now - map_switch.arming_since;
    if (took > kUsualSwitch) {
      map_switch.rests_until =
          now + std::clamp(took * kRestFactor, kShortestRest, kLongestRest);
    }
    Enter(map_switch, SwitchPhase::kIdle, now);
  }
  return std::nullopt;
}

}  // namespace

std::string NameOf(const OrderBody& body) {
  struct Namer {
    std::string operator()(const Prepare&) const { return "prepare"; }
    std::string operator()(const Arm&) const { return "arm"; }
    std::string operator()(const Hold&) const { return "hold"; }
    std::string operator()(const Go&) const { return "go"; }
  };
  return std::visit(Namer{}, body);
}

std::string_view NameOf(SwitchPhase phase) {
  switch (phase) {
    case SwitchPhase::kIdle:
      return "idle";
    case SwitchPhase::kPreparing:
      return "preparing";
    case SwitchPhase::kHolding:
      return "holding";
    case SwitchPhase::kArming:
      return "arming";
    case SwitchPhase::kReleasing:
      return "releasing";
  }
  return "idle";
}

bool HandleStatus(MapSwitch& map_switch,
                  const RankStatus& status,
                  TimePoint now) {
  map_switch.ranks.resize(status.size);
  if (status.rank >= map_switch.ranks.size()) {
    return false;
  }
  auto& known = map_switch.ranks[status.rank];
  // Datagrams overtake each other.
  if (known && known->status.epoch > status.epoch) {
    return false;
  }
  const bool is_formed_anew = known && known->status.epoch < status.epoch;
  known = HeardStatus{status, now};
  map_switch.newest =
      std::max({map_switch.newest, status.map, status.prepared, status.armed});
  // A new epoch holds, arms and prepares nothing of the old one.
  if (map_switch.phase != SwitchPhase::kIdle &&
      status.epoch > map_switch.wish.epoch) {
    GiveUp(map_switch, "the group was formed anew", now);
  }
  return is_formed_anew;
}

bool is_ready_for_map(const MapSwitch& map_switch, TimePoint now) {
  if (map_switch.phase != SwitchPhase::kIdle || map_switch.ranks.empty() ||
      !map_switch.ranks.front() || now < map_switch.rests_until ||
      is_losing_orders(map_switch)) {
    return false;
  }
  const RankStatus& own = map_switch.ranks.front()->status;
  return std::all_of(
      map_switch.ranks.begin(), map_switch.ranks.end(), [&](const auto& rank) {
        return is_fresh(rank, now) && rank->status.is_open &&
               rank->status.epoch == own.epoch && rank->status.map == own.map &&
               rank->status.armed == 0 && rank->status.held == 0 &&
               !rank->status.is_busy;
      });
}

bool is_replaceable(const MapSwitch& map_switch) {
  return map_switch.phase == SwitchPhase::kPreparing;
}

void StartSwitch(MapSwitch& map_switch, ExpertLists map, TimePoint now) {
  map_switch.wish = Wish{.epoch = map_switch.ranks.front()->status.epoch,
                         .version = ++map_switch.newest,
                         .map = std::move(map)};
  map_switch.is_hold_sent = false;
  Enter(map_switch, SwitchPhase::kPreparing, now);
}

std::optional<Order> Continue(MapSwitch& map_switch, TimePoint now) {
  if (map_switch.ranks.empty() || !is_fresh(map_switch.ranks.front(), now)) {
    return std::nullopt;
  }
  const RankStatus own = map_switch.ranks.front()->status;
  switch (map_switch.phase) {
    case SwitchPhase::kIdle:
      return own.held != 0 ? Resume(map_switch, own, now) : std::nullopt;
    case SwitchPhase::kPreparing:
      return ContinuePreparing(map_switch, now);
    case SwitchPhase::kHolding:
      return ContinueHolding(map_switch, own, now);
    case SwitchPhase::kArming:
      return ContinueArming(map_switch, own, now);
    case SwitchPhase::kReleasing:
      return ContinueReleasing(map_switch, own, now);
  }
  return std::nullopt;
}

std::optional<Order> NextOrder(const Wish& wish, const RankStatus& own) {
  const bool is_done = own.map >= wish.version;
  if (wish.version == 0 || wish.epoch != own.epoch || is_done) {
    return std::nullopt;
  }
  Order order{.epoch = own.epoch, .expected_sequence = own.sequence};
  if (wish.arm_step != 0) {
    const bool is_armed =
        own.armed == wish.version && own.armed_step == wish.arm_step;
    if (is_armed || own.prepared != wish.version) {
      return std::nullopt;
    }
    order.body = Arm{.version = wish.version, .step = wish.arm_step};
    return order;
  }
  const bool may_prepare = own.prepared < wish.version && own.armed == 0 &&
                           own.held == 0 && !own.is_busy;
  if (!may_prepare || wish.map.empty()) {
    return std::nullopt;
  }
  order.body = Prepare{.version = wish.version, .map = wish.map};
  return order;
}

}  // namespace bramleyspan::mapswitch
