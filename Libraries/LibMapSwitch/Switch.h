// The switch of a group from one expert map to the next, as the agent beside
// rank 0 leads it. In every pass all ranks use one map:
//
//   prepare  all ranks copy the new map's experts
//   hold     some other rank, the holder, keeps the group from beginning pass
//            S, the next one or a few passes ahead
//   arm      the owner's rank is to switch as pass S begins, then every other
//   go       once every rank reports that it is armed for S
//
// Passes never begin S before all are armed, so that an order that is lost or
// late makes the group wait and never splits it. From the hold on there is
// only the way forward: nothing is ever disarmed, since an arm that was sent
// may still arrive, and whoever finds a held group, a restarted agent too, can
// finish what was begun from the reports alone. The lead needs no lease: only
// one process runs beside rank 0, and orders of the one before are refused by
// their expected sequence or are the same orders again.
//
// Failure: the owner's machine freezes between hold and go, and its server
// cannot be reached either. It shows as a group that begins no pass until the
// machine wakes. The hold therefore lies at another rank, and the owner's own
// rank is armed before any other hears of the step: whoever heard of it knows
// that the one rank that cannot be asked is armed, and may finish.
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
  kArmingOwner,
  kArming,
  kReleasing,
};

std::string_view NameOf(SwitchPhase phase);

// What every rank is to do.
struct Wish {
  uint64_t epoch = 0;
  Version version = 0;
  ExpertLists map;
  // The pass that the holder is to keep the group from; 0 while the map is only
  // to be prepared.
  Step hold_step = 0;
  uint32_t holder = 0;
  // The pass from which the map holds; 0 until it is held.
  Step arm_step = 0;
  // Whether all ranks are armed, so that the holder lets go.
  bool is_released = false;
};

// What is known of a rank, and when its agent said so.
struct HeardStatus {
  RankStatus status;
  TimePoint heard;
};

struct MapSwitch {
  SwitchPhase phase = SwitchPhase::kIdle;
  Wish wish;
  // By rank; the own rank is 0.
  std::vector<std::optional<HeardStatus>> ranks;
  TimePoint since;
  // When the ranks were told to arm, which is for how long a switch may have
  // kept the group waiting.
  TimePoint arming_since;
  // After a switch that took its time the next one waits: where orders get lost
  // a better map gains less than a held group costs.
  TimePoint rests_until;
  // How long it lately took from the hold until all ranks were armed.
  Duration arming_time{};
  // How long a pass of the group takes at present, and when the one under way
  // was first seen.
  Duration pass = std::chrono::milliseconds(50);
  TimePoint pass_began;
  // Whether a hold may be on its way; from then on nothing is given up.
  bool is_hold_wished = false;
  // The newest version that was ever wished or seen.
  Version newest = 0;
  // Random, at each start of the owner's process: its first version lies so far
  // beyond the newest that it has seen.
  //
  // Failure: an owner dies while ranks copy the map of version 7, and nobody
  // reports that version yet. The next owner gives it to another map, and the
  // group goes on with both.
  Version version_offset = 0;
  // An agent that stands in for a silent owner knows the ranks by reports that
  // are old and of different moments, so that it only ever finishes a switch
  // that all ranks have prepared.
  bool is_deputy = false;
  // Names a failed switch in the log.
  std::string last_failure;
};

// Takes what a rank reports. Returns whether the group was formed anew.
bool HandleStatus(MapSwitch& map_switch,
                  const RankStatus& status,
                  TimePoint now);

// Whether all ranks of an open group are heard and no switch is under way.
bool is_ready_for_map(const MapSwitch& map_switch, TimePoint now);

// Whether a group is held for which nothing is armed and nothing can be, so
// that only a new switch, to whatever map, can let it go on.
bool needs_switch(const MapSwitch& map_switch, TimePoint now);

// Whether the switch under way can be replaced by one to another map: nothing
// but copies was ordered for it.
bool is_replaceable(const MapSwitch& map_switch);

// A random offset for an owner that starts.
Version DrawVersionOffset(uint64_t random_bits);

// Starts a switch to `map`; is_ready_for_map or is_replaceable must hold.
void StartSwitch(MapSwitch& map_switch, ExpertLists map, TimePoint now);

// Goes on: what the ranks are to do now is in the wish.
void Continue(MapSwitch& map_switch, TimePoint now);

// The wish as a rank may know it by now.
Wish WishFor(const MapSwitch& map_switch, uint32_t rank);

// For a deputy: takes rank 0, which it cannot reach, for armed if the owner
// said so by naming the step before it fell silent.
void TrustOwner(MapSwitch& map_switch,
                const Wish& heard,
                uint32_t size,
                TimePoint now);

// The next order of a rank's agent under its owner's wish, as its own server
// reports its state.
std::optional<Order> NextOrder(const Wish& wish, const RankStatus& own);

}  // namespace bramleyspan::mapswitch
