// Collects the log records about one request from the processes that handled
// it.
#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "Utilities/bramleyspanctl/Commands.h"
#include "Utilities/bramleyspanctl/Records.h"

namespace bramleyspan {

namespace {

// State changes of a process within this time before or after the request may
// have influenced how it was handled.
constexpr std::chrono::milliseconds kContextTime{1500};

// Modules whose records describe a process's own state and its view of the
// fleet.
constexpr std::array<std::string_view, 8> kStateModules{
    "feeds", "members", "map",     "rank",
    "main",  "drain",   "targets", "quarantine"};

bool is_state_record(const Record& record) {
  const std::string module = record.fields.value("module", "");
  return std::find(kStateModules.begin(), kStateModules.end(), module) !=
         kStateModules.end();
}

void Print(const Record& record, std::chrono::milliseconds start) {
  std::cout << (record.time - start).count() << " ms  "
            << record.fields.value("process", "") << "  "
            << record.fields.value("event", "");
  static const std::set<std::string> shown{"time_ms", "process", "event",
                                           "module",  "level",   "request"};
  for (const auto& [name, value] : record.fields.items()) {
    if (!shown.contains(name)) {
      std::cout << "  " << name << "="
                << (value.is_string() ? value.get<std::string>()
                                      : value.dump());
    }
  }
  std::cout << "\n";
}

// Returns the processes that owned the expert maps of these groups: only a
// map's owner logs group_load.
std::set<std::string> FindOwners(const std::vector<Record>& records,
                                 const std::set<std::string>& groups) {
  std::set<std::string> owners;
  for (const Record& record : records) {
    if (record.fields.value("event", "") == "group_load" &&
        groups.contains(record.fields.value("group", ""))) {
      owners.insert(record.fields.value("process", ""));
    }
  }
  return owners;
}

}  // namespace

Result<void> ExplainRequest(const std::string& request,
                            const std::vector<std::string>& paths) {
  const std::vector<Record> records = TRY(ReadRecords(paths));
  std::set<std::string> processes;
  std::set<std::string> groups;
  std::optional<std::chrono::milliseconds> first;
  std::chrono::milliseconds last{};
  for (const Record& record : records) {
    if (record.fields.value("request", "") == request) {
      processes.insert(record.fields.value("process", ""));
      groups.insert(record.fields.value("group", ""));
      first = first.value_or(record.time);
      last = record.time;
    }
  }
  if (!first) {
    return Fail(ErrorCode::kNotFound, request,
                "no record names this request; the rate limit of the log may "
                "have dropped it: see left_out_before in the records of that "
                "second");
  }
  groups.erase("");
  const std::set<std::string> owners = FindOwners(records, groups);
  for (const Record& record : records) {
    const bool is_of_request = record.fields.value("request", "") == request;
    const bool is_in_context = record.time >= *first - kContextTime &&
                               record.time <= last + kContextTime;
    const bool is_of_involved_process =
        processes.contains(record.fields.value("process", ""));
    const bool is_of_group_owner =
        owners.contains(record.fields.value("process", "")) &&
        record.time >= *first && record.time <= last &&
        record.fields.value("module", "") == "map";
    if (is_of_request || is_of_group_owner ||
        (is_in_context && is_of_involved_process && is_state_record(record))) {
      Print(record, *first);
    }
  }
  return Succeed();
}

}  // namespace bramleyspan
