// Structured logs: each record is one line of JSON on standard output.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "Kernel/Result.h"

namespace bramleyspan::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A named value of a record.
struct LogField {
  std::string_view name;
  std::string value;
};

// Prepares the log of this process and sets the lowest level written.
void StartLog(std::string_view process, LogLevel lowest);

// Parses "debug", "info", "warning" or "error". Fails with kInvalidSetting.
Result<LogLevel> ParseLogLevel(const std::string& word);

// Writes one record.
void Log(LogLevel level,
         std::string_view module,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace bramleyspan::telemetry
