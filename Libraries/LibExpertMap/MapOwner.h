// The owner of a group's expert map, at the agent beside rank 0: it decides
// from which step on a map holds and how far the group may run. There is no
// election, since without rank 0's VM the group is down anyway.
//
// A switch: load the next weights at all ranks; log the decision (map,
// from_step) in the key-value service, from_step past every grant ever given;
// have every rank schedule it; only then grant steps from from_step on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Kernel/Time.h"
#include "LibExpertMap/Orders.h"

namespace bramleyspan::expertmap {

// How far a group may run past the last step that its owner has heard of. It
// bounds every grant that can still be under way, and with that the nearest
// step from which a new map may hold.
inline constexpr Step kGrantWindow = 256;

// A rank that has not answered for so long is named in an alarm.
inline constexpr Duration kSilentRankAlarm = std::chrono::seconds(2);

// What an operator should hear of.
enum class MapAlarm : uint8_t {
  // A rank's agent does not answer; the group stops at the granted step.
  kRankIsSilent,
  // A rank's engine holds a later map than the decision log.
  kRankIsAhead,
  // Another process has become the owner; this one has stopped.
  kFencedOff,
  // The decision log cannot be read or written.
  kLogUnavailable,
  // The decision log does not parse.
  kLogMalformed,
};

// Returns the stable name of an alarm, such as "rank_is_silent".
std::string_view NameOf(MapAlarm alarm);

// The decision log as read; version 0 and no text if there is none.
struct StoredLog {
  uint64_t version = 0;
  std::string text;
};

// Effects that the caller performs. ReadLog is answered by HandleLogRead,
// SwapLog by HandleLogSwapped; at most one of them is under way.
struct ReadLog {};
struct SwapLog {
  uint64_t expected_version = 0;
  std::string text;
};
struct SendOrder {
  Rank rank = 0;
  MapOrder order;
};
struct RaiseAlarm {
  MapAlarm alarm = MapAlarm::kRankIsSilent;
  std::string detail;
};
using OwnerEffect = std::variant<ReadLog, SwapLog, SendOrder, RaiseAlarm>;
using OwnerEffects = std::vector<OwnerEffect>;

// Where the owner stands with the decision log.
enum class OwnerPhase : uint8_t {
  // Takes its incarnation by a compare-and-swap of the log.
  kAcquiring,
  // Owns the map; a switch may be under way.
  kOwning,
  // The decision is being written; it may be in the log already.
  kDeciding,
  // Another owner was seen; nothing is ordered any more.
  kFencedOff,
};

// What the owner knows of a rank.
struct RankView {
  std::optional<MapReport> report;
  TimePoint heard{};
  bool is_alarm_raised = false;
};

struct MapOwner {
  std::string group;
  // Random text that tells this process's swaps from any other's.
  std::string holder;
  Step window = kGrantWindow;
  OwnerPhase phase = OwnerPhase::kAcquiring;
  uint64_t log_version = 0;
  // The log as this owner knows it, its own incarnation included.
  DecisionLog log;
  // The log that the swap under way, or in doubt, writes.
  DecisionLog wanted_log;
  std::optional<ExpertMap> next;
  // Proposed while a switch was under way; starts after it.
  std::optional<Placement> proposed;
  uint64_t prepared_maps = 0;
  Step granted_until = 0;
  uint64_t sequence = 0;
  std::vector<RankView> ranks;
};

// The owner of a group of `rank_count` ranks starts.
OwnerEffects StartOwner(MapOwner& owner,
                        std::string group,
                        size_t rank_count,
                        std::string holder,
                        TimePoint now);

// Wants this placement in force. Starts a switch, or does so when the switch
// under way is over; a later proposal replaces one that waits. Nothing is done
// for the placement in force.
OwnerEffects ProposeMap(MapOwner& owner, Placement placement);

OwnerEffects HandleLogRead(MapOwner& owner,
                           const Result<StoredLog>& stored,
                           TimePoint now);

// A failure means that the swap may have taken place or may do so yet.
OwnerEffects HandleLogSwapped(MapOwner& owner, const Result<bool>& swapped);

OwnerEffects HandleMapReport(MapOwner& owner,
                             const MapReport& report,
                             TimePoint now);

// Sends every order again, retries the log, and looks for silent ranks.
OwnerEffects HandleOwnerTick(MapOwner& owner, TimePoint now);

// Whether every rank has the last decision scheduled.
bool is_acknowledged(const MapOwner& owner);

}  // namespace bramleyspan::expertmap
