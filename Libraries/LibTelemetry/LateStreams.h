// Finds why a stream was late, from the record of its end and the records of
// the owner of its group's expert map.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspan::telemetry {

// A stream whose first event or longest pause was later than its route allows.
struct LateStream {
  std::string request;
  std::string group;
  // When the late event was forwarded, since the epoch.
  std::chrono::milliseconds at{};
  // The time to the first event, or the pause.
  std::chrono::milliseconds took{};
  bool is_first_event = false;
  // The time that the request waited for a permit, and the targets it was sent
  // to.
  std::chrono::milliseconds waited{};
  int attempts = 1;
};

// A group as the owner of its map logged it.
struct GroupRecord {
  std::string group;
  std::chrono::milliseconds at{};
  std::chrono::milliseconds pass{};
  std::string phase;
  // Unknown while a rank has not reported its experts.
  std::optional<double> skew;
  // The pace of the slowest rank.
  double slowest_pace = 1;
};

enum class LateCause {
  // The request waited for a permit.
  kWaited,
  // Another target failed or rejected the request before.
  kRepeated,
  // A rank of the group worked more slowly than usual.
  kSlowRank,
  // The expert map did not match demand.
  kUnevenMap,
  // A switch of the expert map kept the group waiting.
  kSwitch,
  // Passes were long under the group's load.
  kLoad,
  // The owner logged nothing about the group then.
  kUnknown,
};

// Returns the stable name of a cause, such as "slow_rank".
std::string_view NameOf(LateCause cause);

struct Lateness {
  LateCause cause = LateCause::kUnknown;
  // The group's record nearest to the late event, if there is one.
  std::optional<GroupRecord> group;
};

// Returns why the stream was late. `records` are sorted by time.
Lateness FindLateness(const LateStream& stream,
                      const std::vector<GroupRecord>& records);

}  // namespace bramleyspan::telemetry
