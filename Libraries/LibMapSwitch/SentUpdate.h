// Decides when a rank's agent sends the status of its rank to the owner of the
// group's map.
//
// Failure: all agents were killed between the last arm and the go, and their
// successors sent an update only on a change or a new pass. A held group has
// neither, so the owner received no update and never released the group. An
// unchanged status is therefore sent again.
#pragma once

#include "Kernel/Time.h"
#include "LibMapSwitch/Rank.h"

namespace bramleyspan::mapswitch {

struct SentUpdate {
  RankStatus sent_status;
  TimePoint sent_at;
};

// Whether more has changed than the pass and the load.
bool is_state_change(const RankStatus& status, const RankStatus& sent_status);

// Whether the status has to be sent to the owner now. Passes begin many times a
// second, so a new pass alone is sent only with its expert counts.
bool is_update_due(const SentUpdate& last_update,
                   const RankStatus& status,
                   bool has_counts,
                   TimePoint now);

}  // namespace bramleyspan::mapswitch
