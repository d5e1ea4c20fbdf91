// When a rank's agent tells the owner of the group's map how the rank stands.
//
// Failure: all agents were killed between the last arm and the go, and the new
// ones told their owner of changes and of passes only. A held group has
// neither, so the owner never heard of it, and the group stood still to the end
// of the day. What does not change is therefore said again.
#pragma once

#include "Kernel/Time.h"
#include "LibMapSwitch/Rank.h"

namespace bramleyspan::mapswitch {

struct Telling {
  RankStatus told;
  TimePoint told_at;
};

// Whether more has changed than the pass and the load.
bool is_change(const RankStatus& status, const RankStatus& told);

// Whether the owner has to hear of the status now. A pass begins many times a
// second; that alone is told with its counts.
bool is_due(const Telling& telling,
            const RankStatus& status,
            bool has_counts,
            TimePoint now);

}  // namespace bramleyspan::mapswitch
