// Records when the group of this rank stood: the rank had work and no pass
// began.
#pragma once

#include <string>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class GroupStandstill {
 public:
  explicit GroupStandstill(RankState& state) : state(state) {}

  // Handles the own rank's newest report.
  void HandleOwnStatus(TimePoint now);

 private:
  void Log(std::string_view event, Duration stood) const;
  // What the group waits for, as far as this agent knows.
  std::string FindCause(TimePoint now) const;

  RankState& state;
  uint64_t epoch = 0;
  mapswitch::Step step = 0;
  // When the pass was last seen to change, or the rank to have no work.
  TimePoint since;
  bool is_standing = false;
  std::string cause;
};

}  // namespace bramleyspan::rankd
