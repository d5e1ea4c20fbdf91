// What the owner of a group's map wants of the ranks, on its way to their
// agents.
#pragma once

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// The owner's side.
class WishTeller {
 public:
  explicit WishTeller(RankState& state) : state(state) {}

  // Tells all agents what the switch under way wants, at each tick and at once
  // where it is new. What the own rank is to do is left in the state.
  void Tell(TimePoint now);

 private:
  void Send(TimePoint now);

  RankState& state;
  TimePoint told_at;
  TimePoint servers_told;
  mapswitch::SwitchPhase told_phase = mapswitch::SwitchPhase::kIdle;
  mapswitch::Version told_version = 0;
  mapswitch::Step told_hold = 0;
};

// The other agents' side: takes a wish that is not older than the known one.
// Returns whether it wants something new.
bool TakeWish(RankState& state,
              const membership::wire::MapWishT& wish,
              TimePoint now);

}  // namespace bramleyspan::rankd
