// Collects the log records about one request from the processes that handled
// it.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
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

std::chrono::milliseconds SpanOf(const Record& record) {
  return std::chrono::milliseconds(
      std::strtoll(record.fields.value("for_ms", "0").c_str(), nullptr, 10));
}

// What a request's own records tell of where it was.
struct Places {
  std::set<std::string> servers;
  std::set<std::string> targets;
  std::optional<std::chrono::milliseconds> left_at;
};

// Whether the record tells of a standstill of a server or target of the
// request, or the end of one, that began before the request's last record. The
// record itself is written when the standstill is over, often long after it.
bool is_standstill_of(const Record& record,
                      const Places& places,
                      std::chrono::milliseconds first,
                      std::chrono::milliseconds last) {
  static const std::set<std::string> events{
      "process_stood", "group_stood", "target_silent", "target_heard_again"};
  const bool is_place =
      places.servers.contains(record.fields.value("server", "")) ||
      places.targets.contains(record.fields.value("target", ""));
  return is_place && events.contains(record.fields.value("event", "")) &&
         record.time >= first && record.time - SpanOf(record) <= last;
}

// Prints how long the server may have worked on after its caller had left.
void PrintWorkAfterLeaving(const std::vector<Record>& records,
                           const Places& places,
                           std::chrono::milliseconds first) {
  if (!places.left_at) {
    return;
  }
  const auto left = *places.left_at;
  std::cout << "the caller left, and the connection to the server was closed, "
               "at "
            << (left - first).count() << " ms; ";
  for (const Record& record : records) {
    const bool is_stood =
        record.fields.value("event", "") == "process_stood" &&
        places.servers.contains(record.fields.value("server", "")) &&
        record.time >= left && record.time - SpanOf(record) <= left;
    if (is_stood) {
      std::cout << "the server's VM stood until "
                << (record.time - first).count()
                << " ms and could not see it before\n";
      return;
    }
  }
  std::cout << "no record says that the server's VM stood then\n";
}

}  // namespace

Result<void> ExplainRequest(const std::string& request,
                            const std::vector<std::string>& paths) {
  const std::vector<Record> records = TRY(ReadRecords(paths));
  std::set<std::string> processes;
  std::set<std::string> groups;
  Places places;
  std::optional<std::chrono::milliseconds> first;
  std::chrono::milliseconds last{};
  for (const Record& record : records) {
    if (record.fields.value("request", "") == request) {
      processes.insert(record.fields.value("process", ""));
      groups.insert(record.fields.value("group", ""));
      places.servers.insert(record.fields.value("server", ""));
      places.targets.insert(record.fields.value("target", ""));
      const bool has_left = record.fields.value("event", "") == "caller_left" &&
                            record.fields.value("at", "") == "target";
      if (has_left) {
        places.left_at = record.time;
      }
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
  places.servers.erase("");
  places.targets.erase("");
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
        is_standstill_of(record, places, *first, last) ||
        (is_in_context && is_of_involved_process && is_state_record(record))) {
      Print(record, *first);
    }
  }
  PrintWorkAfterLeaving(records, places, *first);
  return Succeed();
}

}  // namespace bramleyspan
