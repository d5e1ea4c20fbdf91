#include "LibTelemetry/Log.h"

#include <easylogging++.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace bramleyspan::telemetry {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info",
                                                      "warning", "error"};

struct LogState {
  std::string process;
  LogFilter filter;
};

LogState& State() {
  static LogState state;
  return state;
}

Result<LogLevel> ParseLogLevel(const std::string& word) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == word) {
      return static_cast<LogLevel>(i);
    }
  }
  return Fail(ErrorCode::kInvalidSetting, word,
              "allowed are: debug, info, warning, error");
}

}  // namespace

void StartLog(std::string_view process, LogFilter filter) {
  State() = {std::string(process), std::move(filter)};
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::setDefaultConfigurations(configuration, true);
}

Result<LogFilter> ParseLogFilter(const std::string& text) {
  LogFilter filter;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    const size_t equals = word.find('=');
    if (equals == std::string::npos) {
      filter.lowest = TRY(ParseLogLevel(word));
      continue;
    }
    filter.modules[word.substr(0, equals)] =
        TRY(ParseLogLevel(word.substr(equals + 1)));
  }
  return filter;
}

bool is_logged(const LogFilter& filter,
               LogLevel level,
               std::string_view module) {
  const auto named = filter.modules.find(module);
  return level >=
         (named == filter.modules.end() ? filter.lowest : named->second);
}

void Log(LogLevel level,
         std::string_view module,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (!is_logged(State().filter, level, module)) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  nlohmann::ordered_json record = {
      {"time_ms", now.time_since_epoch().count()},
      {"level", kLevelNames[static_cast<size_t>(level)]},
      {"process", State().process},
      {"module", module},
      {"event", event}};
  for (const LogField& field : fields) {
    record[std::string(field.name)] = field.value;
  }
  LOG(INFO) << record.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace);
}

}  // namespace bramleyspan::telemetry
