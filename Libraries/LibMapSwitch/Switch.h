// The switch of a group from one expert map to the next, controlled by the
// owner: the agent beside rank 0. In every pass all ranks use the same map:
//
//   prepare  all ranks copy the experts of the new map
//   hold     a rank other than the owner's, the holder, keeps the group from
//            beginning pass S, the next pass or one a few passes ahead
//   confirm  every rank's agent reports once more, so that none is known to be
//            silent when the first arm order is sent
//   arm      the owner's rank, then every other rank, is ordered to switch at
//            the beginning of pass S
//   go       the holder releases the group once every rank reports that it is
//            armed for S
//
// Pass S does not begin before all ranks are armed, so a lost or late order
// delays the group but never makes its ranks use different maps. Once a hold
// was ordered, the switch can only be completed: no rank is ever disarmed,
// since an arm order that was sent may still arrive. Any agent that finds a
// held group, such as a restarted owner, can complete the switch from the
// ranks' reports alone. The owner needs no lease: only one process runs beside
// rank 0, and an order of its predecessor either fails its expected sequence or
// equals the new owner's order.
//
// Failure: a rank's machine freezes as the group is held; its server can't be
// ordered, and the group begins no pass until the machine recovers. The switch
// is then aborted: the owner's rank prepares another version, so that it can
// never be armed for this one. Since no other rank is sent the step before the
// owner's is armed, no rank is or will be armed, and the holder may release the
// group.
//
// Failure: an owner is killed while it aborts a switch, or an order to hold is
// carried out after its switch. The group is held, no rank is armed, and no
// process knows why. As no rank is armed before the owner's, an owner whose own
// rank is not armed lets such a group go in the same way: it needs the reports
// of its own rank and of the holder, but neither the reports of the other
// ranks, nor a plan, nor the demand, which only passes would show.
//
// Failure: the owner's machine freezes between hold and go, and its model
// server is unreachable too; the group begins no pass until the machine
// recovers. Therefore another rank holds the group, and the owner's rank is
// armed before the step is sent to any other rank. An agent that received the
// step thus knows that the one unreachable rank is armed, and may complete the
// switch.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibMapSwitch/Rank.h"

namespace bramleyspan::mapswitch {

enum class SwitchPhase {
  kIdle,
  kPreparing,
  kHolding,
  kConfirming,
  kArmingOwner,
  kArming,
  kReleasing,
  kAborting,
};

std::string_view NameOf(SwitchPhase phase);

// The state of the switch that the owner wants at every rank.
struct DesiredMap {
  uint64_t epoch = 0;
  Version version = 0;
  ExpertLists map;
  // The pass that the holder must not let begin; 0 while the map is only to be
  // prepared.
  Step hold_step = 0;
  uint32_t holder = 0;
  // Whether the group is held, so that every agent reports at once.
  bool is_held = false;
  // The pass from which the map is in force; 0 until the group is held.
  Step arm_step = 0;
  // Whether all ranks are armed, so that the holder may release the group.
  bool is_released = false;
  // Whether no rank can become armed, so that the holder may release the group.
  bool is_aborted = false;
};

// The last status received from a rank.
struct ReceivedStatus {
  RankStatus status;
  TimePoint received_at;
};

struct MapSwitch {
  SwitchPhase phase = SwitchPhase::kIdle;
  DesiredMap desired_map;
  // By rank; the owner's rank is 0.
  std::vector<std::optional<ReceivedStatus>> ranks;
  // When the phase was entered.
  TimePoint since;
  // When arming began; from then on the switch may keep the group waiting.
  TimePoint arming_since;
  // When the hold of the present step was requested.
  TimePoint hold_requested_at;
  // No switch starts before this time. After a slow switch the next one is
  // delayed: where orders are lost, a better map gains less than a held group
  // costs.
  TimePoint cooldown_until;
  // Recent time from the request for a hold until all ranks were armed.
  Duration arming_time{};
  // When the last switch was completed.
  TimePoint in_force_since;
  // Recent duration of a pass of the group, and when the running pass was first
  // seen.
  Duration pass = std::chrono::milliseconds(50);
  TimePoint pass_began;
  // What the owner's rank prepares to abort a switch; the desired map if empty.
  // The list of the owner's rank is the one in use, so that nothing is copied.
  ExpertLists abort_map;
  // The version that keeps the owner's rank from being armed while a switch is
  // aborted.
  Version abort_version = 0;
  // Whether the switch that is aborted was not started by this owner, which
  // knows nothing of it but the hold.
  bool is_unknown_switch = false;
  // When the group was first found to be held without a switch of this owner.
  std::optional<TimePoint> held_found_at;
  // Whether a hold was requested and may still arrive; from then on the switch
  // can't be aborted.
  bool is_hold_requested = false;
  // The highest version that was requested or reported.
  Version newest = 0;
  // The distance of the owner's first version from the newest one that was
  // reported; grows from each process beside this rank to the next.
  //
  // Failure: an owner is killed while ranks copy the map of version 7, and no
  // rank reports that version yet. The next owner would assign version 7 to
  // another map, and the group would run with both. With any other version that
  // is not higher, the old order is carried out late at a rank that prepared
  // the new map; it can't be armed any more, and the held group stands for
  // good.
  Version version_offset = 0;
  // Whether this is the state of a standby owner. Its reports are old and of
  // different times, so it only completes a switch that all ranks have
  // prepared.
  bool is_standby = false;
  // Why the last switch was aborted, for the log.
  std::string last_failure;
};

// Applies a rank's report. Returns whether the group was re-formed.
bool HandleStatus(MapSwitch& map_switch,
                  const RankStatus& status,
                  TimePoint now);

// Whether all ranks of an open group have a fresh status and no switch is in
// progress.
bool is_ready_for_map(const MapSwitch& map_switch, TimePoint now);

// Whether the owner's rank can't prepare what aborts the switch, because
// abort_map is not known yet.
bool lacks_abort_map(const MapSwitch& map_switch);

// Returns a map for abort_map: the owner's rank, rank 0, keeps `own_lists`, by
// set, and the other experts of each set are dealt to the other ranks in turn.
ExpertLists MakeAbortMap(const std::vector<std::vector<uint16_t>>& own_lists,
                         uint32_t ranks,
                         uint32_t experts);

// Whether the switch in progress can be replaced by one to another map: only
// copies were ordered for it.
bool is_replaceable(const MapSwitch& map_switch);

// Whether the owner may leave: nothing of the switch in progress can keep the
// group waiting. Nobody else completes a switch before the owner is missed.
bool may_owner_leave(const MapSwitch& map_switch, TimePoint now);

// Returns the version offset of an owner that starts now. Its machine's clock
// runs on while processes come and go.
Version VersionOffsetAt(TimePoint now);

// Starts a switch to `map`. Requires is_ready_for_map or is_replaceable.
void StartSwitch(MapSwitch& map_switch, ExpertLists map, TimePoint now);

// Advances the switch by what the ranks reported; updates the desired map.
void Continue(MapSwitch& map_switch, TimePoint now);

// Returns the desired map that may be sent to the rank in the current phase.
DesiredMap DesiredMapFor(const MapSwitch& map_switch, uint32_t rank);

// For a standby owner that can't reach rank 0: assumes that rank 0 is armed if
// the last desired map received from the owner names the step.
void InferOwnerArmed(MapSwitch& map_switch,
                     const DesiredMap& last_received,
                     uint32_t size,
                     TimePoint now);

// Returns the next order for a model server that reports the status `own`, if
// the desired map requires one.
std::optional<Order> NextOrder(const DesiredMap& desired_map,
                               const RankStatus& own);

}  // namespace bramleyspan::mapswitch
