#include "LibTelemetry/LateStreams.h"

#include <algorithm>
#include <array>

namespace bramleyspan::telemetry {

namespace {

using std::chrono::milliseconds;

// The owner logs a group four times a second.
constexpr milliseconds kRecordInterval{250};
// A first event is late by its wait if the wait takes this fraction of the time
// to it.
constexpr double kMinWaitFraction = 0.4;
constexpr double kMinSlowPace = 1.3;
constexpr double kMinUnevenSkew = 2;

// Phases in which the group may wait for ranks that are not armed.
constexpr std::array<std::string_view, 4> kHoldingPhases{
    "holding", "arming_owner", "arming", "releasing"};

bool is_holding(const GroupRecord& record) {
  return std::find(kHoldingPhases.begin(), kHoldingPhases.end(),
                   record.phase) != kHoldingPhases.end();
}

LateCause CauseInGroup(const std::vector<GroupRecord>& records) {
  const auto has = [&records](auto predicate) {
    return std::any_of(records.begin(), records.end(), predicate);
  };
  if (records.empty()) {
    return LateCause::kUnknown;
  }
  if (has([](const GroupRecord& record) {
        return record.slowest_pace >= kMinSlowPace;
      })) {
    return LateCause::kSlowRank;
  }
  if (has([](const GroupRecord& record) {
        return record.skew && *record.skew >= kMinUnevenSkew;
      })) {
    return LateCause::kUnevenMap;
  }
  return has(is_holding) ? LateCause::kSwitch : LateCause::kLoad;
}

}  // namespace

std::string_view NameOf(LateCause cause) {
  switch (cause) {
    case LateCause::kWaited:
      return "waited";
    case LateCause::kRepeated:
      return "repeated";
    case LateCause::kSlowRank:
      return "slow_rank";
    case LateCause::kUnevenMap:
      return "uneven_map";
    case LateCause::kSwitch:
      return "switch";
    case LateCause::kLoad:
      return "load";
    case LateCause::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Lateness FindLateness(const LateStream& stream,
                      const std::vector<GroupRecord>& records) {
  std::vector<GroupRecord> during;
  Lateness lateness;
  for (const GroupRecord& record : records) {
    const bool is_during =
        record.group == stream.group &&
        record.at >= stream.at - stream.took - kRecordInterval &&
        record.at <= stream.at + kRecordInterval;
    if (!is_during) {
      continue;
    }
    during.push_back(record);
    const milliseconds middle = stream.at - stream.took / 2;
    const bool is_nearer =
        !lateness.group || std::chrono::abs(record.at - middle) <
                               std::chrono::abs(lateness.group->at - middle);
    if (is_nearer) {
      lateness.group = record;
    }
  }
  const bool has_waited =
      stream.is_first_event &&
      static_cast<double>(stream.waited.count()) >=
          kMinWaitFraction * static_cast<double>(stream.took.count());
  if (stream.attempts > 1) {
    lateness.cause = LateCause::kRepeated;
  } else if (has_waited) {
    lateness.cause = LateCause::kWaited;
  } else {
    lateness.cause = CauseInGroup(during);
  }
  return lateness;
}

}  // namespace bramleyspan::telemetry
