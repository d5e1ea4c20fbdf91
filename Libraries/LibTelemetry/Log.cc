#include "LibTelemetry/Log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace bramleyspan::telemetry {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info",
                                                      "warning", "error"};

// Records of one event that are written per second. Under load the records of
// ordinary requests would crowd out those of failures and state changes, so
// each event has its own budget.
constexpr uint32_t kInfoPerSecond = 50;
constexpr uint32_t kWarningsPerSecond = 100;

// A write of up to this size to a pipe is atomic (PIPE_BUF on Linux).
constexpr size_t kAtomicPipeBytes = 4096;

// The use of one event's budget in the second that starts at `second`.
struct EventBudget {
  std::chrono::steady_clock::time_point second;
  uint32_t written = 0;
  uint64_t suppressed = 0;
};

struct LogState {
  std::string process;
  LogFilter filter;
  std::map<std::string, EventBudget, std::less<>> budgets;
  uint64_t lost_lines = 0;
};

LogState& State() {
  static LogState state;
  return state;
}

// Writes complete lines to standard output without blocking. If the pipe is
// full the line is dropped, since a process blocked on its log serves no
// requests.
class LineWriter : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->message() + "\n";
    pollfd entry{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    const bool is_writable =
        poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    if (!is_writable || line.size() > kAtomicPipeBytes ||
        ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++State().lost_lines;
    }
  }
};

// Takes one record from the budget of an event and returns whether one was
// left. If a new second starts, sets `suppressed` to the number of records that
// were suppressed before.
bool TakeFromBudget(LogLevel level,
                    std::string_view event,
                    uint64_t& suppressed) {
  auto& budgets = State().budgets;
  auto found = budgets.find(event);
  if (found == budgets.end()) {
    found = budgets.emplace(std::string(event), EventBudget{}).first;
  }
  EventBudget& budget = found->second;
  const auto now = std::chrono::steady_clock::now();
  if (now - budget.second >= std::chrono::seconds(1)) {
    suppressed = std::exchange(budget.suppressed, 0);
    budget.second = now;
    budget.written = 0;
  }
  const uint32_t max_records =
      level >= LogLevel::kWarning ? kWarningsPerSecond : kInfoPerSecond;
  if (budget.written >= max_records) {
    ++budget.suppressed;
    return false;
  }
  ++budget.written;
  return true;
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
  State().process = std::string(process);
  State().filter = std::move(filter);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::setDefaultConfigurations(configuration, true);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<LineWriter>("LineWriter");
}

Result<LogFilter> ParseLogFilter(const std::string& text) {
  LogFilter filter;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    const size_t equals = word.find('=');
    if (equals == std::string::npos) {
      filter.min_level = TRY(ParseLogLevel(word));
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
         (named == filter.modules.end() ? filter.min_level : named->second);
}

void Log(LogLevel level,
         std::string_view module,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (!is_logged(State().filter, level, module)) {
    return;
  }
  uint64_t suppressed = 0;
  if (!TakeFromBudget(level, event, suppressed)) {
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
  if (suppressed > 0) {
    record["left_out_before"] = suppressed;
  }
  if (State().lost_lines > 0) {
    record["lost_lines"] = State().lost_lines;
  }
  LOG(INFO) << record.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace);
}

}  // namespace bramleyspan::telemetry
