// Limits how many streams run at once in a group of ranks, with one permit for
// each. All ranks of a group run each pass in lock-step, so that each further
// stream makes every pass longer; beyond a limit every stream is late. A
// request without a permit waits at the gateway, where it loads no rank and can
// be refused while its caller has time left.
//
// The limit of a group follows the pauses between events that callers see,
// which are as long as its passes. Each gateway computes the limit itself and
// uses its share of it.
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
  // Streams that may run at once at each rank. The limit is kept per rank
  // because ranks become known one after the other: a limit for the whole group
  // would start too low.
  double streams_per_rank = 0;
  // Pauses between events since the last adjustment.
  std::vector<Duration> pauses;
  // The kPauseQuantile quantile of the pauses before the last adjustment; kept
  // for the dump.
  Duration pause_quantile{};
  // When a pause last came close to the longest that is on time. After a demand
  // shift the expert map no longer fits, and passes take up to twice as long at
  // once; each further prompt would then make all streams of the group late.
  TimePoint overloaded_at;
  // When a rank last rejected a stream: its group is being formed, or is fuller
  // than this gateway knows. Trying the next rank would only use up the
  // request's attempts.
  TimePoint rejected_at;
};

// Returns how many streams may run at once in a group with that many ranks.
double LimitOf(const GroupPermits& group, uint32_t ranks);

struct Permits {
  std::map<std::string, GroupPermits> groups;
};

// The other gateways that this one shares the permits of all groups with.
struct Sharing {
  // Live gateways, this one included.
  size_t gateways = 1;
  // Other gateways that have requests waiting for a permit.
  size_t others_waiting = 0;
};

// Returns the name of a target's group. Targets whose group is not known form
// one group per service.
std::string GroupOf(const TargetView& view);

// Returns the target for the next stream; null if no group has a permit left.
// The group is drawn at random, weighted by its unused permits, and the costs
// of ranks get a random part of up to one stream: a gateway's view of the
// others is up to a heartbeat old, and without randomness all gateways would
// choose the same least loaded rank.
const TargetView* ChooseTargetWithPermit(Permits& permits,
                                         const TargetTable& targets,
                                         const Service& service,
                                         const Sharing& sharing,
                                         const std::set<std::string>& excluded,
                                         uint64_t random_bits,
                                         TimePoint now);

// Records a pause between two events of a stream of the group.
void RecordPause(Permits& permits,
                 const std::string& group,
                 Duration pause,
                 Duration longest_pause,
                 TimePoint now);

// Records that a rank of the group rejected a stream without running it.
void RecordRejection(Permits& permits, const std::string& group, TimePoint now);

// Adjusts the limits by the pauses since the last call. `longest_pause` is the
// longest pause that is on time.
void AdjustLimits(Permits& permits,
                  const TargetTable& targets,
                  const Service& service,
                  Duration longest_pause);

}  // namespace bramleyspan::gateway
