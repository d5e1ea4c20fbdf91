// Sums up why streams were late, from the logs of gateways and of the owners of
// expert maps.
#include <charconv>
#include <iostream>
#include <map>

#include "LibTelemetry/LateStreams.h"
#include "Utilities/bramleyspanctl/Commands.h"
#include "Utilities/bramleyspanctl/Records.h"

namespace bramleyspan {

namespace {

using std::chrono::milliseconds;
using telemetry::GroupRecord;
using telemetry::LateStream;

// Late streams are counted by windows of this length.
constexpr milliseconds kWindow{2000};

// Returns a field that holds a number as text, or `otherwise` without one.
double NumberOf(const Record& record, const char* name, double otherwise) {
  const std::string text = record.fields.value(name, "");
  double value = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

milliseconds MillisecondsOf(const Record& record, const char* name) {
  return milliseconds(static_cast<int64_t>(NumberOf(record, name, 0)));
}

GroupRecord ToGroupRecord(const Record& record) {
  constexpr double kUnknown = -1;
  GroupRecord group{.group = record.fields.value("group", ""),
                    .at = record.time,
                    .pass = MillisecondsOf(record, "pass_ms"),
                    .phase = record.fields.value("phase", ""),
                    .slowest_pace = NumberOf(record, "slowest_pace", 1)};
  const double skew = NumberOf(record, "skew", kUnknown);
  if (skew != kUnknown) {
    group.skew = skew;
  }
  return group;
}

LateStream ToLateStream(const Record& record) {
  return {.request = record.fields.value("request", ""),
          .group = record.fields.value("group", ""),
          .at = record.time - MillisecondsOf(record, "ago_ms"),
          .took = MillisecondsOf(record, "late_ms"),
          .is_first_event = record.fields.value("what", "") == "first_event",
          .waited = MillisecondsOf(record, "waited_ms"),
          .attempts = static_cast<int>(NumberOf(record, "attempts", 1))};
}

void Print(const LateStream& stream, const telemetry::Lateness& lateness) {
  std::cout << stream.request << "  " << telemetry::NameOf(lateness.cause)
            << "  " << (stream.is_first_event ? "first_event" : "pause")
            << "  at_ms=" << stream.at.count()
            << "  late_ms=" << stream.took.count()
            << "  waited_ms=" << stream.waited.count()
            << "  attempts=" << stream.attempts << "  group=" << stream.group;
  if (lateness.group) {
    const GroupRecord& group = *lateness.group;
    std::cout << "  pass_ms=" << group.pass.count() << "  phase=" << group.phase
              << "  slowest_pace=" << group.slowest_pace;
    if (group.skew) {
      std::cout << "  skew=" << *group.skew;
    }
  }
  std::cout << "\n";
}

}  // namespace

Result<void> PrintCauses(const std::vector<std::string>& paths,
                         bool prints_streams) {
  const std::vector<Record> records = TRY(ReadRecords(paths));
  std::vector<GroupRecord> groups;
  std::vector<LateStream> late;
  for (const Record& record : records) {
    const std::string event = record.fields.value("event", "");
    if (event == "group_load" || event == "switch_phase") {
      groups.push_back(ToGroupRecord(record));
    } else if (event == "late") {
      late.push_back(ToLateStream(record));
    }
  }
  std::map<int64_t, std::map<std::string, int>> counts;
  std::map<std::string, int> sums;
  for (const LateStream& stream : late) {
    const auto lateness = telemetry::FindLateness(stream, groups);
    const std::string cause(telemetry::NameOf(lateness.cause));
    ++counts[(stream.at - records.front().time) / kWindow][cause];
    ++sums[cause];
    if (prints_streams) {
      Print(stream, lateness);
    }
  }
  for (const auto& [window, causes] : counts) {
    std::cout << (window * kWindow).count() << " ms";
    for (const auto& [cause, count] : causes) {
      std::cout << "  " << cause << "=" << count;
    }
    std::cout << "\n";
  }
  std::cout << "all";
  for (const auto& [cause, count] : sums) {
    std::cout << "  " << cause << "=" << count;
  }
  std::cout << "\n";
  return Succeed();
}

}  // namespace bramleyspan
