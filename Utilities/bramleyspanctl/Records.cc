#include "Utilities/bramleyspanctl/Records.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace bramleyspan {

namespace {

using nlohmann::json;

// Reads one JSON record from each line. A log collector may have put a prefix
// before the record.
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

}  // namespace

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

}  // namespace bramleyspan
