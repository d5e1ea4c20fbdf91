// Structured logs: each record is one line of JSON on standard output.
#pragma once

#include <functional>
#include <initializer_list>
#include <map>
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

// The lowest level that is written, for all modules but those named.
struct LogFilter {
  LogLevel min_level = LogLevel::kInfo;
  std::map<std::string, LogLevel, std::less<>> modules;
};

// Prepares the log of this process.
void StartLog(std::string_view process, LogFilter filter);

// Parses "info" or "warning,links=debug,calls=info". The levels are debug,
// info, warning and error. Fails with kInvalidSetting.
Result<LogFilter> ParseLogFilter(const std::string& text);

// Whether a record of a module and level is written.
bool is_logged(const LogFilter& filter,
               LogLevel level,
               std::string_view module);

// Writes one record.
void Log(LogLevel level,
         std::string_view module,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace bramleyspan::telemetry
