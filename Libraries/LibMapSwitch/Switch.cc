#include "LibMapSwitch/Switch.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::mapswitch {

namespace {

// An older status is not used as the rank's present state.
constexpr Duration kLongestStatusAge = std::chrono::milliseconds(400);
// Time from the start of arming until the new map is in force at all ranks,
// when no order is lost. The cooldown after a slower switch is a multiple of
// its duration.
constexpr Duration kUsualSwitchTime = std::chrono::milliseconds(450);
constexpr int kCooldownFactor = 2;
constexpr Duration kShortestCooldown = std::chrono::seconds(1);
constexpr Duration kLongestCooldown = std::chrono::seconds(2);
// A switch that is not prepared in this time is aborted: a rank's agent may
// have died, and nothing is held yet.
constexpr Duration kPreparationTimeout = std::chrono::seconds(5);
// A rank that has not reported for so long after the hold is silent.
constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(120);
// Bounds of the expected time from the hold until every rank reports that it is
// armed.
constexpr Duration kUsualArmingTime = std::chrono::milliseconds(50);
constexpr Duration kLongestArmingTime = std::chrono::milliseconds(500);
// Expected arming time while a rank loses orders: its order is repeated once or
// twice.
constexpr Duration kArmingTimeUnderLoss = std::chrono::milliseconds(200);
// Factor by which a long arming time decays with each switch.
constexpr double kArmingTimeDecay = 0.7;
// Time for an order to reach the model server and for its effect to be
// reported.
constexpr Duration kOrderRoundTrip = std::chrono::milliseconds(15);
constexpr Duration kShortestPass = std::chrono::milliseconds(10);
// Time after a switch in which the recent passes are mostly those of the map
// before it, which took longer.
constexpr Duration kPassUnknownAfterSwitch = std::chrono::milliseconds(300);
// How late the beginning of a pass may be reported.
constexpr Duration kPassReportDelay = std::chrono::milliseconds(20);

bool is_fresh(const std::optional<ReceivedStatus>& rank, TimePoint now) {
  return rank && now - rank->received_at <= kLongestStatusAge;
}

template <typename Predicate>
bool is_true_for_all(const MapSwitch& map_switch,
                     TimePoint now,
                     Predicate predicate) {
  return !map_switch.ranks.empty() &&
         std::all_of(map_switch.ranks.begin(), map_switch.ranks.end(),
                     [&](const auto& rank) {
                       return is_fresh(rank, now) &&
                              rank->status.epoch ==
                                  map_switch.desired_map.epoch &&
                              predicate(rank->status);
                     });
}

void EnterPhase(MapSwitch& map_switch, SwitchPhase phase, TimePoint now) {
  const bool is_hold_start = phase == SwitchPhase::kConfirming ||
                             (phase == SwitchPhase::kArmingOwner &&
                              map_switch.phase != SwitchPhase::kConfirming);
  if (is_hold_start) {
    map_switch.arming_since = now;
  }
  map_switch.phase = phase;
  map_switch.since = now;
}

void Abort(MapSwitch& map_switch, std::string reason, TimePoint now) {
  map_switch.last_failure = std::move(reason);
  EnterPhase(map_switch, SwitchPhase::kIdle, now);
}

// Whether so many ranks lose orders that a held group would wait for long.
// Keeping the old map costs less than holding the group, and if the owner fails
// too, the servers work on requests whose callers have left.
bool is_losing_orders(const MapSwitch& map_switch) {
  constexpr size_t kLeastRanks = 2;
  const auto losing = static_cast<size_t>(std::count_if(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [](const auto& rank) { return rank && rank->status.is_losing_orders; }));
  return losing >= std::max(kLeastRanks, map_switch.ranks.size() / 3 + 1);
}

// Whether any rank has lost an order recently.
bool has_lost_orders(const MapSwitch& map_switch) {
  return std::any_of(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [](const auto& rank) { return rank && rank->status.is_losing_orders; });
}

// Returns how many passes ahead the group is held. If a pass is due before the
// last rank is armed, the group waits there: passes of 90 ms took 130 ms, and
// every stream was late. If all ranks are armed before the pass is due, nothing
// waits; the rest of the running pass may be enough time. Lost orders are
// repeated, so as much time is allowed as the last switches took, and more as
// soon as a rank loses orders.
Step PassesAhead(const MapSwitch& map_switch, TimePoint now) {
  const Duration pass = std::max(map_switch.pass, kShortestPass);
  const Duration least =
      has_lost_orders(map_switch) ? kArmingTimeUnderLoss : kUsualArmingTime;
  const Duration needed =
      std::clamp(map_switch.arming_time, least, kLongestArmingTime);
  const bool is_pass_known =
      now - map_switch.in_force_since > kPassUnknownAfterSwitch;
  const Duration left =
      is_pass_known ? map_switch.pass_began + pass - kPassReportDelay - now
                    : Duration(0);
  if (left >= needed) {
    return 1;
  }
  // The running pass may end at any moment.
  const Duration missing = needed - std::max(left, Duration(0));
  const auto further = (missing + pass - Duration(1)) / pass;
  return static_cast<Step>(1 + further);
}

// Returns the rank that holds the group at the nearest pass, if any. If holds
// were requested at two ranks, both may be carried out.
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

// Returns any rank but the owner's own, if there is another.
uint32_t ChooseHolder(const MapSwitch& map_switch, TimePoint now) {
  for (const auto& rank : map_switch.ranks) {
    if (is_fresh(rank, now) && rank->status.rank != 0) {
      return rank->status.rank;
    }
  }
  return 0;
}

// Returns a version that no owner has used.
Version NextVersion(MapSwitch& map_switch) {
  map_switch.newest += std::exchange(map_switch.version_offset, 0);
  return ++map_switch.newest;
}

void ContinueHolding(MapSwitch& map_switch, TimePoint now);
void ContinueArmingOwner(MapSwitch& map_switch, TimePoint now);

const RankStatus& StatusOf(const MapSwitch& map_switch, uint32_t rank) {
  return map_switch.ranks[rank]->status;
}

// Lets a group go that is held without a switch of this owner.
void AbortUnknownSwitch(MapSwitch& map_switch,
                        uint32_t holder,
                        std::string reason,
                        TimePoint now) {
  map_switch.abort_version = NextVersion(map_switch);
  map_switch.abort_map.clear();
  map_switch.is_unknown_switch = true;
  map_switch.desired_map =
      DesiredMap{.epoch = StatusOf(map_switch, 0).epoch,
                 .version = map_switch.abort_version,
                 .hold_step = StatusOf(map_switch, holder).held,
                 .holder = holder,
                 .is_held = true};
  map_switch.last_failure = std::move(reason);
  EnterPhase(map_switch, SwitchPhase::kAborting, now);
}

// Whether the owner's rank shows that no rank is armed for the held pass: none
// is armed before the owner's, which stays armed until the pass begins.
bool is_no_rank_armed(const MapSwitch& map_switch, uint32_t holder) {
  const RankStatus& own = StatusOf(map_switch, 0);
  return own.armed == 0 && own.step < StatusOf(map_switch, holder).held;
}

// Resumes the switch of a held group, as a restarted owner or a standby owner
// finds it. Arm orders are sent only while every rank has the same map
// prepared, so that
//
//   - if a rank is armed for the held pass, its map is the one to complete;
//   - if all have the same map prepared, arm orders may still arrive: complete
//     the switch to it;
//   - if they differ, or a rank is silent, and the owner's rank is not armed,
//     the owner aborts the switch. A standby owner can't.
//
// No agent releases a pass for which not all ranks are armed for the same map.
// A go order that is carried out late is therefore harmless, even to a hold of
// the same pass that another agent requested.
void Resume(MapSwitch& map_switch, uint32_t holder, TimePoint now) {
  const RankStatus& own = StatusOf(map_switch, 0);
  const Step held = StatusOf(map_switch, holder).held;
  map_switch.desired_map = DesiredMap{.epoch = own.epoch,
                                      .version = own.prepared,
                                      .hold_step = held,
                                      .holder = holder,
                                      .is_held = true,
                                      .arm_step = held};
  const bool has_all_statuses =
      is_true_for_all(map_switch, now, [](const RankStatus&) { return true; });
  if (!map_switch.held_found_at) {
    map_switch.held_found_at = now;
  }
  const bool may_abort =
      !map_switch.is_standby && is_no_rank_armed(map_switch, holder);
  if (!has_all_statuses) {
    if (may_abort && now - *map_switch.held_found_at > kConfirmationTimeout) {
      AbortUnknownSwitch(map_switch, holder,
                         "held without a switch, and a rank is silent", now);
    }
    return;
  }
  const bool is_same = is_true_for_all(
      map_switch, now,
      [&own](const RankStatus& rank) { return rank.prepared == own.prepared; });
  bool is_armed = false;
  for (const auto& rank : map_switch.ranks) {
    if (rank->status.armed_step == held) {
      map_switch.desired_map.version = rank->status.armed;
      is_armed = true;
    }
  }
  if (is_armed || (is_same && own.prepared != 0)) {
    map_switch.hold_requested_at = now;
    EnterPhase(map_switch, SwitchPhase::kArmingOwner, now);
    ContinueArmingOwner(map_switch, now);
  } else if (may_abort) {
    AbortUnknownSwitch(map_switch, holder, "held without a switch", now);
  }
}

void ContinuePreparing(MapSwitch& map_switch, TimePoint now) {
  const Version version = map_switch.desired_map.version;
  // A hold of an earlier switch was carried out late; the group would wait for
  // the copies.
  const auto late_holder = FindHolder(map_switch, now);
  if (late_holder && is_no_rank_armed(map_switch, *late_holder)) {
    AbortUnknownSwitch(map_switch, *late_holder,
                       "held by an order that came late", now);
    return;
  }
  if (is_losing_orders(map_switch)) {
    Abort(map_switch, "ranks lose orders", now);
    return;
  }
  if (now - map_switch.since > kPreparationTimeout) {
    Abort(map_switch, "ranks did not prepare the map in time", now);
    return;
  }
  const bool is_prepared =
      is_true_for_all(map_switch, now, [version](const RankStatus& rank) {
        return rank.is_open && rank.prepared == version;
      });
  if (is_prepared) {
    EnterPhase(map_switch, SwitchPhase::kHolding, now);
    ContinueHolding(map_switch, now);
  }
}

void ContinueHolding(MapSwitch& map_switch, TimePoint now) {
  DesiredMap& desired_map = map_switch.desired_map;
  const auto current_holder = FindHolder(map_switch, now);
  if (current_holder) {
    if (!map_switch.is_hold_requested) {
      map_switch.hold_requested_at = now;
    }
    desired_map.holder = *current_holder;
    desired_map.hold_step = StatusOf(map_switch, *current_holder).held;
    desired_map.is_held = true;
    EnterPhase(map_switch, SwitchPhase::kConfirming, now);
    return;
  }
  // Nothing is held yet, so nothing is armed: it is safe to abort here.
  const bool is_overdue = now - map_switch.since > kPreparationTimeout;
  if (is_overdue && !map_switch.is_hold_requested) {
    Abort(map_switch, "the group was not held in time", now);
    return;
  }
  const bool has_all_statuses =
      is_true_for_all(map_switch, now, [](const RankStatus&) { return true; });
  // A hold that arrived after its pass began was refused; a later pass is
  // requested. All ranks must have a fresh status, or the group would wait for
  // one whose agent is unresponsive.
  const Step step = StatusOf(map_switch, 0).step;
  if (has_all_statuses && desired_map.hold_step <= step) {
    desired_map.holder = ChooseHolder(map_switch, now);
    desired_map.hold_step = step + PassesAhead(map_switch, now);
    map_switch.hold_requested_at = now;
    map_switch.is_hold_requested = true;
  }
}

void ContinueArmingOwner(MapSwitch& map_switch, TimePoint now) {
  const RankStatus& own = StatusOf(map_switch, 0);
  const DesiredMap& desired_map = map_switch.desired_map;
  if (own.armed == desired_map.version &&
      own.armed_step == desired_map.arm_step) {
    EnterPhase(map_switch, SwitchPhase::kArming, now);
    return;
  }
  // A killed owner's order to prepare was carried out late, so that the owner's
  // rank can't be armed.
  const auto holder = FindHolder(map_switch, now);
  const bool is_armable =
      own.prepared == desired_map.version || own.armed == desired_map.version;
  if (!map_switch.is_standby && !is_armable && holder &&
      is_no_rank_armed(map_switch, *holder)) {
    AbortUnknownSwitch(map_switch, *holder,
                       "the owner's rank has another map prepared", now);
  }
}

// Whether every rank's agent has reported since the phase was entered.
bool has_all_reports_since(const MapSwitch& map_switch, TimePoint since) {
  return std::all_of(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [since](const auto& rank) { return rank && rank->received_at > since; });
}

void ContinueConfirming(MapSwitch& map_switch, TimePoint now) {
  DesiredMap& desired_map = map_switch.desired_map;
  const bool is_confirmed =
      has_all_reports_since(map_switch, map_switch.since) &&
      is_true_for_all(map_switch, now, [](const RankStatus&) { return true; });
  // A standby owner may have begun to complete the switch.
  const bool is_owner_armed = StatusOf(map_switch, 0).armed != 0;
  if (is_confirmed || is_owner_armed) {
    desired_map.arm_step = desired_map.hold_step;
    EnterPhase(map_switch, SwitchPhase::kArmingOwner, now);
    return;
  }
  if (now - map_switch.since > kConfirmationTimeout) {
    map_switch.last_failure = "a rank is silent in the hold";
    map_switch.abort_version = NextVersion(map_switch);
    EnterPhase(map_switch, SwitchPhase::kAborting, now);
  }
}

void ContinueAborting(MapSwitch& map_switch, TimePoint now) {
  DesiredMap& desired_map = map_switch.desired_map;
  const RankStatus& own = StatusOf(map_switch, 0);
  if (!desired_map.is_aborted && own.armed != 0) {
    desired_map.version = own.armed;
    desired_map.arm_step = desired_map.hold_step;
    EnterPhase(map_switch, SwitchPhase::kArmingOwner, now);
    return;
  }
  desired_map.is_aborted =
      desired_map.is_aborted || own.prepared >= map_switch.abort_version;
  const auto current_holder = FindHolder(map_switch, now);
  if (current_holder) {
    desired_map.holder = *current_holder;
  }
  // A go order that was not answered may arrive until the pass has begun, so no
  // other switch may hold that pass.
  if (desired_map.is_aborted && own.step >= desired_map.hold_step) {
    map_switch.cooldown_until = now + kLongestCooldown;
    EnterPhase(map_switch, SwitchPhase::kIdle, now);
  }
}

void ContinueArming(MapSwitch& map_switch, TimePoint now) {
  DesiredMap& desired_map = map_switch.desired_map;
  const bool is_armed =
      is_true_for_all(map_switch, now, [&desired_map](const RankStatus& rank) {
        return rank.armed == desired_map.version &&
               rank.armed_step == desired_map.arm_step;
      });
  if (is_armed) {
    const auto decayed = std::chrono::duration_cast<Duration>(
        kArmingTimeDecay * map_switch.arming_time);
    map_switch.arming_time =
        std::max(now - map_switch.hold_requested_at + kOrderRoundTrip, decayed);
    desired_map.is_released = true;
    EnterPhase(map_switch, SwitchPhase::kReleasing, now);
  }
}

void ContinueReleasing(MapSwitch& map_switch, TimePoint now) {
  DesiredMap& desired_map = map_switch.desired_map;
  const auto current_holder = FindHolder(map_switch, now);
  if (current_holder &&
      StatusOf(map_switch, *current_holder).held <= desired_map.arm_step) {
    desired_map.holder = *current_holder;
    return;
  }
  const Version version = desired_map.version;
  const bool is_in_force = is_true_for_all(
      map_switch, now,
      [version](const RankStatus& rank) { return rank.map == version; });
  if (is_in_force) {
    map_switch.in_force_since = now;
    const Duration switch_time = now - map_switch.arming_since;
    if (switch_time > kUsualSwitchTime) {
      map_switch.cooldown_until =
          now + std::clamp(switch_time * kCooldownFactor, kShortestCooldown,
                           kLongestCooldown);
    }
    EnterPhase(map_switch, SwitchPhase::kIdle, now);
  }
}

}  // namespace

bool HandleStatus(MapSwitch& map_switch,
                  const RankStatus& status,
                  TimePoint now) {
  map_switch.ranks.resize(status.size);
  if (status.rank >= map_switch.ranks.size()) {
    return false;
  }
  auto& known = map_switch.ranks[status.rank];
  // Datagrams may arrive out of order.
  if (known && known->status.epoch > status.epoch) {
    return false;
  }
  const bool is_reformed = known && known->status.epoch < status.epoch;
  known = ReceivedStatus{status, now};
  map_switch.newest =
      std::max({map_switch.newest, status.map, status.prepared, status.armed});
  // Holds, arms and prepared maps of the old epoch are void in a new one.
  if (map_switch.phase != SwitchPhase::kIdle &&
      status.epoch > map_switch.desired_map.epoch) {
    Abort(map_switch, "the group was re-formed", now);
  }
  return is_reformed;
}

bool is_ready_for_map(const MapSwitch& map_switch, TimePoint now) {
  if (map_switch.phase != SwitchPhase::kIdle || map_switch.ranks.empty() ||
      !map_switch.ranks.front() || now < map_switch.cooldown_until ||
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

bool may_owner_leave(const MapSwitch& map_switch, TimePoint now) {
  const bool is_nothing_held =
      map_switch.phase == SwitchPhase::kIdle && !FindHolder(map_switch, now);
  return is_nothing_held || is_replaceable(map_switch);
}

Version VersionOffsetAt(TimePoint now) {
  return static_cast<Version>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count());
}

void StartSwitch(MapSwitch& map_switch, ExpertLists map, TimePoint now) {
  map_switch.desired_map =
      DesiredMap{.epoch = map_switch.ranks.front()->status.epoch,
                 .version = NextVersion(map_switch),
                 .map = std::move(map)};
  map_switch.is_hold_requested = false;
  map_switch.is_unknown_switch = false;
  EnterPhase(map_switch, SwitchPhase::kPreparing, now);
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
      } else {
        map_switch.held_found_at.reset();
      }
      return;
    }
    case SwitchPhase::kPreparing:
      ContinuePreparing(map_switch, now);
      return;
    case SwitchPhase::kHolding:
      ContinueHolding(map_switch, now);
      return;
    case SwitchPhase::kConfirming:
      ContinueConfirming(map_switch, now);
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
    case SwitchPhase::kAborting:
      ContinueAborting(map_switch, now);
      return;
  }
}

void InferOwnerArmed(MapSwitch& map_switch,
                     const DesiredMap& last_received,
                     uint32_t size,
                     TimePoint now) {
  map_switch.ranks.resize(size);
  if (last_received.arm_step == 0 || is_fresh(map_switch.ranks.front(), now)) {
    return;
  }
  map_switch.ranks.front() =
      ReceivedStatus{.status = {.epoch = last_received.epoch,
                                .size = size,
                                .is_open = true,
                                .prepared = last_received.version,
                                .armed = last_received.version,
                                .armed_step = last_received.arm_step},
                     .received_at = now};
}

}  // namespace bramleyspan::mapswitch
