// How many streams run at once in a group of ranks. All ranks of a group
// advance together, so that each further stream makes every pass longer; past
// a point every stream is late. What has no place waits at the gateway, where
// it costs no rank anything and can be refused while the caller has time left.
//
// The group's limit follows the pauses that callers see, which are its passes.
// Each gateway works the limit out for itself and takes its share of it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/RouteTable.h"
#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

struct GroupPermits {
  // Streams that may run at once at each rank. Ranks become known one after
  // the other, so that a limit of the whole group would begin too low.
  double streams_per_rank = 0;
  // Pauses seen since the last adjustment.
  std::vector<Duration> pauses;
  // The longest usual pause lately, for the dump.
  Duration pause_quantile{};
  // When a pause was last about as long as may be. What is in demand jumps,
  // and with a map of the moment before passes take twice as long at once;
  // each further prompt would make all streams of the group late.
  TimePoint overloaded_at;
  // A rank turned a stream away: its group is being formed, or is full beyond
  // what this gateway knows. Asking the next rank would only use up the
  // request's attempts.
  TimePoint refused_at;
};

// Streams that may run at once in a whole group.
double LimitOf(const GroupPermits& group, uint32_t ranks);

struct Permits {
  std::map<std::string, GroupPermits> groups;
};

// How a gateway shares the groups with the others.
struct Sharing {
  // Gateways at work, this one among them.
  size_t gateways = 1;
  // Those of the others that have requests waiting.
  size_t others_waiting = 0;
};

// The group of a target. Targets whose group is not known share one by
// service.
std::string GroupOf(const TargetView& view);

// The target that runs the next stream; null if no group has a place. Groups
// are drawn by the room they have, and ranks with a random part of a stream's
// weight: what a gateway knows of the others is up to a heartbeat old, and the
// emptiest rank would get the next stream of every one of them.
const TargetView* ChooseTargetWithPermit(Permits& permits,
                                         const TargetTable& targets,
                                         const Service& service,
                                         const Sharing& sharing,
                                         const std::set<std::string>& excluded,
                                         uint64_t random_bits,
                                         TimePoint now);

// A stream of a group had a pause between events.
void RecordPause(Permits& permits,
                 const std::string& group,
                 Duration pause,
                 Duration longest_pause,
                 TimePoint now);

// A rank of a group turned a stream away without running it.
void RecordRefusal(Permits& permits, const std::string& group, TimePoint now);

// Sets the limits by the pauses since the last call. `longest_pause` is what
// counts as on time.
void AdjustLimits(Permits& permits,
                  const TargetTable& targets,
                  const Service& service,
                  Duration longest_pause);

}  // namespace bramleyspan::gateway
