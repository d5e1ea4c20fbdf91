// Tells one request's story from the logs of the processes that had it.
#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "Utilities/bramleyspanctl/Commands.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

// What a process came to believe this long before or after the request may
// have decided about it.
constexpr std::chrono::milliseconds kAround{1500};

// Modules whose lines tell what a process believes.
constexpr std::array<std::string_view, 6> kBeliefModules{
    "feeds", "members", "map", "rank", "main", "drain"};

struct Record {
  std::chrono::milliseconds time{};
  json fields;
};

bool is_belief(const Record& record) {
  const std::string module = record.fields.value("module", "");
  return std::find(kBeliefModules.begin(), kBeliefModules.end(), module) !=
         kBeliefModules.end();
}

// Lines may begin with what a log collector put before the record.
void ReadFile(const std::filesystem::path& path, std::vector<Record>& records) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const size_t begin = line.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    json fields = json::parse(line.substr(begin), nullptr, false);
    if (fields.is_object() && fields.contains("event")) {
      const std::chrono::milliseconds time(fields.value("time_ms", int64_t{0}));
      records.push_back({time, std::move(fields)});
    }
  }
}

Result<std::vector<Record>> ReadRecords(const std::vector<std::string>& paths) {
  std::vector<Record> records;
  for (const std::string& path : paths) {
    if (!std::filesystem::exists(path)) {
      return Fail(ErrorCode::kNotFound, path, "no such file or directory");
    }
    if (!std::filesystem::is_directory(path)) {
      ReadFile(path, records);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      ReadFile(entry.path(), records);
    }
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& left, const Record& right) {
                     return left.time < right.time;
                   });
  return records;
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

// The processes that led the maps of these groups.
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
                "no record names this request; it may have been left out: see "
                "left_out_before in the records of that second");
  }
  groups.erase("");
  const std::set<std::string> owners = FindOwners(records, groups);
  for (const Record& record : records) {
    const bool is_its = record.fields.value("request", "") == request;
    const bool is_near =
        record.time >= *first - kAround && record.time <= last + kAround;
    const bool is_of_its_process =
        processes.contains(record.fields.value("process", ""));
    const bool is_of_its_group =
        owners.contains(record.fields.value("process", "")) &&
        record.time >= *first && record.time <= last &&
        record.fields.value("module", "") == "map";
    if (is_its || is_of_its_group ||
        (is_near && is_of_its_process && is_belief(record))) {
      Print(record, *first);
    }
  }
  return Succeed();
}

}  // namespace bramleyspan
