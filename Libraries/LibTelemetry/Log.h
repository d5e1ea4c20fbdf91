// Structured logging. Each record is one line of JSON on standard output.
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

// The lowest level that is written: by module, and for all other modules.
struct LogFilter {
  LogLevel min_level = LogLevel::kInfo;
  std::map<std::string, LogLevel, std::less<>> modules;
};

// Sets the process name and filter of all further records.
void StartLog(std::string_view process, LogFilter filter);

// Parses a filter such as "info" or "warning,links=debug,calls=info". The
// levels are debug, info, warning and error. Fails with kInvalidSetting.
Result<LogFilter> ParseLogFilter(const std::string& text);

// Whether the filter allows records of this level and module.
bool is_logged(const LogFilter& filter,
               LogLevel level,
               std::string_view module);

// Writes one record. Omits it if the filter excludes it, if too many records of
// this event were written within a second, or if standard output is blocked.
void Log(LogLevel level,
         std::string_view module,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace bramleyspan::telemetry
