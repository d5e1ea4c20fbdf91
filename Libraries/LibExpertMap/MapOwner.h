// Owner of a group's expert map, in the agent beside rank 0. It decides from
// which step a map is in force and up to which step the group may run. There is
// no election, since the group cannot run without the VM of rank 0.
//
// A switch: all ranks load the weights of the next map; the owner logs the
// decision (map, from_step) in the key-value service, with from_step after all
// steps ever granted; every rank schedules it; only then the owner grants steps
// from from_step on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Kernel/Time.h"
#include "LibExpertMap/Orders.h"

namespace bramleyspan::expertmap {

// Number of steps that a group may run beyond the last step known to its owner.
// It bounds every grant that may still be in flight, and with it the earliest
// step from which a new map can hold.
inline constexpr Step kGrantWindow = 256;

// A rank without an answer for this long raises an alarm.
inline constexpr Duration kUnresponsiveRankAlarm = std::chrono::seconds(2);

// Conditions that are reported to operators.
enum class MapAlarm : uint8_t {
  // A rank's agent is unresponsive; the group stops at the granted step.
  kRankUnresponsive,
  // A rank's engine has a newer map than the decision log.
  kRankAhead,
  // Another process has become the owner; this one has stopped.
  kFencedOff,
  // The decision log cannot be read or written.
  kLogUnavailable,
  // The decision log does not parse.
  kLogMalformed,
};

// Returns the stable name of an alarm, such as "rank_is_silent".
std::string_view NameOf(MapAlarm alarm);

// The decision log as read; version 0 and empty text if there is none.
struct StoredLog {
  uint64_t version = 0;
  std::string text;
};

// Effects that the caller performs. ReadLog is answered by HandleLogRead,
// SwapLog by HandleLogSwapped; at most one of them is in flight.
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
  MapAlarm alarm = MapAlarm::kRankUnresponsive;
  std::string detail;
};
using OwnerEffect = std::variant<ReadLog, SwapLog, SendOrder, RaiseAlarm>;
using OwnerEffects = std::vector<OwnerEffect>;

// State of the owner with respect to the decision log.
enum class OwnerPhase : uint8_t {
  // Acquires its incarnation by a compare-and-swap of the log.
  kAcquiring,
  // Owns the map; a switch may be in progress.
  kOwning,
  // A decision is being written and may already be in the log.
  kDeciding,
  // Another owner was detected; no more orders are sent.
  kFencedOff,
};

// The owner's view of a rank.
struct RankView {
  std::optional<MapReport> report;
  TimePoint last_received{};
  bool is_alarm_raised = false;
};

struct MapOwner {
  std::string group;
  // Random text that distinguishes this process's swaps from those of other
  // processes.
  std::string holder;
  Step window = kGrantWindow;
  OwnerPhase phase = OwnerPhase::kAcquiring;
  uint64_t log_version = 0;
  // The log as last confirmed to this owner, with its own incarnation.
  DecisionLog log;
  // The log that the current swap, or one with unknown outcome, writes.
  DecisionLog intended_log;
  std::optional<ExpertMap> next;
  // Placement proposed during a switch; its own switch starts afterwards.
  std::optional<Placement> proposed;
  uint64_t prepared_map_count = 0;
  Step granted_until = 0;
  uint64_t sequence = 0;
  std::vector<RankView> ranks;
};

// Starts the owner of a group of `rank_count` ranks.
OwnerEffects StartOwner(MapOwner& owner,
                        std::string group,
                        size_t rank_count,
                        std::string holder,
                        TimePoint now);

// Requests a switch to this placement. The switch starts at once, or after the
// one in progress; a later proposal replaces a pending one. Does nothing for
// the placement in force.
OwnerEffects ProposeMap(MapOwner& owner, Placement placement);

OwnerEffects HandleLogRead(MapOwner& owner,
                           const Result<StoredLog>& stored,
                           TimePoint now);

// Handles the answer to a swap. After a failure the swap may have taken place
// or may still do so.
OwnerEffects HandleLogSwapped(MapOwner& owner, const Result<bool>& swapped);

OwnerEffects HandleMapReport(MapOwner& owner,
                             const MapReport& report,
                             TimePoint now);

// Repeats all orders, retries the log and raises alarms for unresponsive ranks.
OwnerEffects HandleOwnerTick(MapOwner& owner, TimePoint now);

// Whether every rank has scheduled the last decision.
bool is_acknowledged(const MapOwner& owner);

}  // namespace bramleyspan::expertmap
