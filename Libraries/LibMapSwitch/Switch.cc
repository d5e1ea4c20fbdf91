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
constexpr int kRestFactor = 2;
constexpr Duration kShortestRest = std::chrono::seconds(1);
constexpr Duration kLongestRest = std::chrono::seconds(2);
// A switch that is not prepared in this time is given up: a rank's agent may
// have died, and nothing is held yet.
constexpr Duration kLongestPreparation = std::chrono::seconds(5);
// From the hold until every rank reports that it is armed.
constexpr Duration kUsualArmingTime = std::chrono::milliseconds(50);
constexpr Duration kLongestArmingTime = std::chrono::milliseconds(500);
// What of a long arming time is left with the next switch.
constexpr double kArmingTimeKept = 0.7;
// An order's way to the server and its effect's way back into a report.
constexpr Duration kOrderTime = std::chrono::milliseconds(15);
constexpr Duration kShortestPass = std::chrono::milliseconds(10);
// How late the beginning of a pass may show in a report.
constexpr Duration kPassSeenLate = std::chrono::milliseconds(20);

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
  const bool is_held_now = phase == SwitchPhase::kArmingOwner ||
                           (phase == SwitchPhase::kArming &&
                            map_switch.phase != SwitchPhase::kArmingOwner);
  if (is_held_now) {
    map_switch.arming_since = now;
  }
  map_switch.phase = phase;
  map_switch.since = now;
}

void GiveUp(MapSwitch& map_switch, std::string reason, TimePoint now) {
  map_switch.last_failure = std::move(reason);
  Enter(map_switch, SwitchPhase::kIdle, now);
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

// How many passes ahead the group is held. A group held at a pass that comes
// before the last rank is armed waits there, which made passes of 90 ms last
// 130, and every stream late; with the arms out before the pass is due, nothing
// waits. What is left of the pass under way may be enough. Orders that get lost
// are repeated, which takes longer: as long as the last switches took.
Step PassesAhead(const MapSwitch& map_switch, TimePoint now) {
  const Duration pass = std::max(map_switch.pass, kShortestPass);
  const Duration needed =
      std::clamp(map_switch.arming_time, kUsualArmingTime, kLongestArmingTime);
  const Duration left = map_switch.pass_began + pass - kPassSeenLate - now;
  if (left >= needed) {
    return 1;
  }
  // A pass that is nearly over may end at any moment.
  const Duration lacking = needed - std::max(left, Duration(0));
  const auto further = (lacking + pass - Duration(1)) / pass;
  return static_cast<Step>(1 + further);
}

// The rank that keeps the group from the nearest pass, if any does. Holds that
// were tried at two ranks may both be carried out.
std::optional<uint32_t> FindHolder(const MapSwitch& map_switch, TimePoint now) {
  const RankStatus* nearest = nullptr;
  for (const auto& rank : map_switch.ranks) {
    const bool is_held = is_fresh(rank, now) && rank->status.held != 0;
    if (is_held && (nearest == nullptr || rank->status.held < nearest->held)) {
      nearest = &rank->status;
    }
  }
  return nearest == nullptr ? std::nullopt
                            : std::optional<uint32_t>(nearest->rank);
}

// Any rank but the owner's own, if there is another.
uint32_t ChooseHolder(const MapSwitch& map_switch, TimePoint now) {
  for (const auto& rank : map_switch.ranks) {
    if (is_fresh(rank, now) && rank->status.rank != 0) {
      return rank->status.rank;
    }
  }
  return 0;
}

const RankStatus& StatusOf(const MapSwitch& map_switch, uint32_t rank) {
  return map_switch.ranks[rank]->status;
}

// A restarted agent finds the group held by its predecessor. Arms are sent
// only while every rank has the same map prepared, so that
//   - where a rank is armed for the held pass, its map is the one to finish;
//   - where all have the same map prepared, arms may be on their way: finish;
//   - where they differ, a later switch had begun before the hold was carried
//     out, so that nothing was armed for it: see needs_switch.
// Nobody ever lets go of a pass for which not all ranks are armed alike. A go
// that is carried out late can therefore do no harm, not even to a hold of the
// same pass by somebody else.
void Resume(MapSwitch& map_switch, uint32_t holder, TimePoint now) {
  const RankStatus& own = StatusOf(map_switch, 0);
  const Step held = StatusOf(map_switch, holder).held;
  map_switch.wish = Wish{.epoch = own.epoch,
                         .version = own.prepared,
                         .hold_step = held,
                         .holder = holder,
                         .arm_step = held};
  const bool is_all_heard =
      is_all(map_switch, now, [](const RankStatus&) { return true; });
  if (!is_all_heard) {
    return;
  }
  const bool is_same = is_all(map_switch, now, [&own](const RankStatus& rank) {
    return rank.prepared == own.prepared;
  });
  bool is_armed = false;
  for (const auto& rank : map_switch.ranks) {
    if (rank->status.armed_step == held) {
      map_switch.wish.version = rank->status.armed;
      is_armed = true;
    }
  }
  if (is_armed || (is_same && own.prepared != 0)) {
    // A deputy trusts that an owner's rank is armed once the owner names the
    // pass; that holds for one that finds the group held, too.
    Enter(
        map_switch,
        map_switch.is_deputy ? SwitchPhase::kArming : SwitchPhase::kArmingOwner,
        now);
  }
}

void ContinueHolding(MapSwitch& map_switch, TimePoint now);

void ContinuePreparing(MapSwitch& map_switch, TimePoint now) {
  const Version version = map_switch.wish.version;
  if (is_losing_orders(map_switch)) {
    GiveUp(map_switch, "orders get lost", now);
    return;
  }
  if (now - map_switch.since > kLongestPreparation) {
    GiveUp(map_switch, "not prepared in time", now);
    return;
  }
  const bool is_prepared =
      is_all(map_switch, now, [version](const RankStatus& rank) {
        return rank.is_open && rank.prepared == version;
      });
  if (is_prepared) {
    Enter(map_switch, SwitchPhase::kHolding, now);
    ContinueHolding(map_switch, now);
  }
}

void ContinueHolding(MapSwitch& map_switch, TimePoint now) {
  Wish& wish = map_switch.wish;
  const auto held_at = FindHolder(map_switch, now);
  if (held_at) {
    wish.holder = *held_at;
    wish.hold_step = StatusOf(map_switch, *held_at).held;
    wish.arm_step = wish.hold_step;
    Enter(map_switch, SwitchPhase::kArmingOwner, now);
    return;
  }
  // Nothing is held yet, and so nothing armed: it is safe to stop here. All
  // agents must be near, or the group would wait for the one that is not.
  const bool is_late = now - map_switch.since > kLongestPreparation;
  if (is_late && !map_switch.is_hold_wished) {
    GiveUp(map_switch, "not held in time", now);
    return;
  }
  const bool is_all_heard =
      is_all(map_switch, now, [](const RankStatus&) { return true; });
  // A hold that came too late was refused: it is tried with a later pass.
  const Step step = StatusOf(map_switch, 0).step;
  if (is_all_heard && wish.hold_step <= step) {
    wish.holder = ChooseHolder(map_switch, now);
    wish.hold_step = step + PassesAhead(map_switch, now);
    map_switch.is_hold_wished = true;
  }
}

void ContinueArmingOwner(MapSwitch& map_switch, TimePoint now) {
  const RankStatus& own = StatusOf(map_switch, 0);
  const Wish& wish = map_switch.wish;
  if (own.armed == wish.version && own.armed_step == wish.arm_step) {
    Enter(map_switch, SwitchPhase::kArming, now);
  }
}

void ContinueArming(MapSwitch& map_switch, TimePoint now) {
  Wish& wish = map_switch.wish;
  const bool is_armed =
      is_all(map_switch, now, [&wish](const RankStatus& rank) {
        return rank.armed == wish.version && rank.armed_step == wish.arm_step;
      });
  if (is_armed) {
    const auto kept = std::chrono::duration_cast<Duration>(
        kArmingTimeKept * map_switch.arming_time);
    map_switch.arming_time =
        std::max(now - map_switch.arming_since + kOrderTime, kept);
    wish.is_released = true;
    Enter(map_switch, SwitchPhase::kReleasing, now);
  }
}

void ContinueReleasing(MapSwitch& map_switch, TimePoint now) {
  Wish& wish = map_switch.wish;
  const auto held_at = FindHolder(map_switch, now);
  if (held_at && StatusOf(map_switch, *held_at).held <= wish.arm_step) {
    wish.holder = *held_at;
    return;
  }
  const Version version = wish.version;
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
    case SwitchPhase::kArmingOwner:
      return "arming_owner";
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

bool needs_switch(const MapSwitch& map_switch, TimePoint now) {
  if (map_switch.phase != SwitchPhase::kIdle || map_switch.is_deputy ||
      !FindHolder(map_switch, now)) {
    return false;
  }
  return std::all_of(map_switch.ranks.begin(), map_switch.ranks.end(),
                     [&](const auto& rank) {
                       return is_fresh(rank, now) && rank->status.is_open &&
                              rank->status.armed == 0;
                     });
}

bool is_replaceable(const MapSwitch& map_switch) {
  return map_switch.phase == SwitchPhase::kPreparing;
}

Version DrawVersionOffset(uint64_t random_bits) {
  constexpr uint64_t kLargest = 1U << 24U;
  return random_bits % kLargest;
}

void StartSwitch(MapSwitch& map_switch, ExpertLists map, TimePoint now) {
  map_switch.newest += std::exchange(map_switch.version_offset, 0);
  map_switch.wish = Wish{.epoch = map_switch.ranks.front()->status.epoch,
                         .version = ++map_switch.newest,
                         .map = std::move(map)};
  map_switch.is_hold_wished = false;
  Enter(map_switch, SwitchPhase::kPreparing, now);
}

void Continue(MapSwitch& map_switch, TimePoint now) {
  if (map_switch.ranks.empty() || !is_fresh(map_switch.ranks.front(), now)) {
    return;
  }
  switch (map_switch.phase) {
    case SwitchPhase::kIdle: {
      const auto holder = FindHolder(map_switch, now);
      if (holder) {
        Resume(map_switch, *holder, now);
      }
      return;
    }
    case SwitchPhase::kPreparing:
      ContinuePreparing(map_switch, now);
      return;
    case SwitchPhase::kHolding:
      ContinueHolding(map_switch, now);
      return;
    case SwitchPhase::kArmingOwner:
      ContinueArmingOwner(map_switch, now);
      return;
    case SwitchPhase::kArming:
      ContinueArming(map_switch, now);
      return;
    case SwitchPhase::kReleasing:
      ContinueReleasing(map_switch, now);
      return;
  }
}

Wish WishFor(const MapSwitch& map_switch, uint32_t rank) {
  Wish wish = map_switch.wish;
  if (map_switch.phase == SwitchPhase::kArmingOwner && rank != 0) {
    wish.arm_step = 0;
  }
  return wish;
}

void TrustOwner(MapSwitch& map_switch,
                const Wish& heard,
                uint32_t size,
                TimePoint now) {
  map_switch.ranks.resize(size);
  if (heard.arm_step == 0 || is_fresh(map_switch.ranks.front(), now)) {
    return;
  }
  map_switch.ranks.front() =
      HeardStatus{.status = {.epoch = heard.epoch,
                             .size = size,
                             .is_open = true,
                             .prepared = heard.version,
                             .armed = heard.version,
                             .armed_step = heard.arm_step},
                  .heard = now};
}

namespace {

// What the holder is to do besides arming.
std::optional<OrderBody> HolderOrder(const Wish& wish, const RankStatus& own) {
  if (wish.holder != own.rank || wish.hold_step == 0) {
    return std::nullopt;
  }
  if (wish.is_released) {
    // All ranks are armed for arm_step and none for a pass before it.
    const bool may_go = own.held != 0 && own.held <= wish.arm_step;
    return may_go ? std::optional<OrderBody>(Go{.step = own.held})
                  : std::nullopt;
  }
  const bool may_hold = own.held == 0 && own.armed == 0 && wish.arm_step == 0 &&
                        own.prepared == wish.version &&
                        own.step < wish.hold_step;
  return may_hold ? std::optional<OrderBody>(Hold{.step = wish.hold_step})
                  : std::nullopt;
}

}  // namespace

std::optional<Order> NextOrder(const Wish& wish, const RankStatus& own) {
  if (wish.epoch != own.epoch) {
    return std::nullopt;
  }
  Order order{.epoch = own.epoch, .expected_sequence = own.sequence};
  const auto holder_order = HolderOrder(wish, own);
  if (holder_order) {
    order.body = *holder_order;
    return order;
  }
  const bool is_done = own.map >= wish.version;
  if (wish.version == 0 || is_done) {
    return std::nullopt;
  }
  if (wish.arm_step != 0) {
    const bool is_armed =
        own.armed == wish.version && own.armed_step == wish.arm_step;
    if (is_armed || own.prepared != wish.version) {
      return std::nullopt;
    }
    order.body = Arm{.version = wish.version, .step = wish.arm_step};
    return order;
  }
  const bool may_prepare =
      own.prepared < wish.version && own.armed == 0 && !own.is_busy;
  if (!may_prepare || wish.map.empty()) {
    return std::nullopt;
  }
  order.body = Prepare{.version = wish.version, .map = wish.map};
  return order;
}

}  // namespace bramleyspan::mapswitch
