// Reads the log records of the fleet's processes.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan {

struct Record {
  std::chrono::milliseconds time{};
  nlohmann::json fields;
};

// Returns the records of log files, or directories of them, in order of time.
// Lines that hold no record are left out.
Result<std::vector<Record>> ReadRecords(const std::vector<std::string>& paths);

}  // namespace bramleyspan
