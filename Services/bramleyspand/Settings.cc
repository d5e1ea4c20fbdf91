#include "Services/bramleyspand/Settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bramleyspan {

namespace {

auto FailFor(const std::string& name,
             const SettingText& given,
             const std::string& allowed) {
  return Fail(
      ErrorCode::kInvalidSetting, name,
      "'" + given.text + "' from " + given.source + "; allowed: " + allowed);
}

Result<std::string> RequireText(const SettingLookup& lookup,
                                const std::string& name) {
  const SettingText given = lookup(name);
  if (given.text.empty()) {
    return FailFor(name, given, "any text that is not empty");
  }
  return given.text;
}

Result<uint16_t> RequirePort(const SettingLookup& lookup,
                             const std::string& name) {
  const SettingText given = lookup(name);
  const char* end = given.text.data() + given.text.size();
  uint16_t port = 0;
  const auto [stop, failure] = std::from_chars(given.text.data(), end, port);
  if (failure != std::errc{} || stop != end || port == 0) {
    return FailFor(name, given, "a port from 1 to 65535");
  }
  return port;
}

Result<uint32_t> RequireSlots(const SettingLookup& lookup) {
  const SettingText given = lookup("target-slots");
  const char* end = given.text.data() + given.text.size();
  uint32_t slots = 0;
  const auto [stop, failure] = std::from_chars(given.text.data(), end, slots);
  if (failure != std::errc{} || stop != end || slots == 0) {
    return FailFor("target-slots", given, "a number from 1");
  }
  return slots;
}

Result<Address> RequireAddress(const SettingLookup& lookup,
                               const std::string& name) {
  const SettingText given = lookup(name);
  auto address = ParseAddress(given.text);
  if (address.has_error()) {
    return FailFor(name, given, "IP:PORT");
  }
  return address;
}

Result<Duration> RequireSeconds(const SettingLookup& lookup,
                                const std::string& name) {
  constexpr int64_t kLongest = 24LL * 3600;
  const SettingText given = lookup(name);
  const char* end = given.text.data() + given.text.size();
  int64_t seconds = 0;
  const auto [stop, failure] = std::from_chars(given.text.data(), end, seconds);
  if (failure != std::errc{} || stop != end || seconds < 1 ||
      seconds > kLongest) {
    return FailFor(name, given, "whole seconds from 1 to 86400");
  }
  return Duration(std::chrono::seconds(seconds));
}

Result<Duration> RequireMilliseconds(const SettingLookup& lookup,
                                     const std::string& name) {
  constexpr int64_t kShortest = 1000;
  constexpr int64_t kLongest = 60'000;
  const SettingText given = lookup(name);
  const char* end = given.text.data() + given.text.size();
  int64_t milliseconds = 0;
  const auto [stop, failure] =
      std::from_chars(given.text.data(), end, milliseconds);
  if (failure != std::errc{} || stop != end || milliseconds < kShortest ||
      milliseconds > kLongest) {
    return FailFor(name, given, "whole milliseconds from 1000 to 60000");
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

Result<std::string> RequireName(const SettingLookup& lookup) {
  const SettingText given = lookup("name");
  // In claim keys the name stands between dots.
  if (given.text.empty() || given.text.find('.') != std::string::npos) {
    return FailFor("name", given, "a VM's name without dots");
  }
  return given.text;
}

Result<double> RequireNumber(const SettingLookup& lookup,
                             const std::string& name) {
  const SettingText given = lookup(name);
  const char* end = given.text.data() + given.text.size();
  double value = 0;
  const auto [stop, failure] = std::from_chars(given.text.data(), end, value);
  if (failure != std::errc{} || stop != end || value < 0) {
    return FailFor(name, given, "a number from 0");
  }
  return value;
}

Result<bool> RequireBool(const SettingLookup& lookup, const std::string& name) {
  const SettingText given = lookup(name);
  if (given.text != "true" && given.text != "false") {
    return FailFor(name, given, "true or false");
  }
  return given.text == "true";
}

Result<std::optional<Address>> FindAddress(const SettingLookup& lookup,
                                           const std::string& name) {
  if (lookup(name).text.empty()) {
    return std::optional<Address>();
  }
  const Address address = TRY(RequireAddress(lookup, name));
  return std::optional<Address>(address);
}

// Parses "10.0.0.1:80,10.0.0.2:80" into IP numbers.
Result<std::vector<std::string>> FindSeeds(const SettingLookup& lookup) {
  const SettingText given = lookup("seeds");
  std::vector<std::string> seeds;
  std::istringstream words(given.text);
  for (std::string word; std::getline(words, word, ',');) {
    const auto address = ParseAddress(word);
    if (address.has_error()) {
      return FailFor("seeds", given, "IP:PORT, separated by commas");
    }
    seeds.push_back(address.value().ip);
  }
  return seeds;
}

// Parses the first port of a list such as "7340,7355".
Result<uint16_t> RequireFirstPort(const SettingLookup& lookup,
                                  const std::string& name) {
  const SettingText given = lookup(name);
  return RequirePort(
      [&given](const std::string&) {
        return SettingText{given.text.substr(0, given.text.find(',')),
                           given.source};
      },
      name);
}

Result<uint32_t> RequireFanOut(const SettingLookup& lookup) {
  constexpr double kMost = 64;
  const SettingText given = lookup("group-fan-out");
  const double fan_out = TRY(RequireNumber(lookup, "group-fan-out"));
  if (fan_out < 2 || fan_out > kMost) {
    return FailFor("group-fan-out", given, "a number from 2 to 64");
  }
  return static_cast<uint32_t>(fan_out);
}

// The system's limit holds whatever the setting says.
Result<uint64_t> FindMaxDescriptors(const SettingLookup& lookup) {
  const auto given =
      static_cast<uint64_t>(TRY(RequireNumber(lookup, "max-descriptors")));
  rlimit allowed{};
  getrlimit(RLIMIT_NOFILE, &allowed);
  return given == 0 ? allowed.rlim_cur
                    : std::min<uint64_t>(given, allowed.rlim_cur);
}

Result<FleetSettings> ParseFleetSettings(const SettingLookup& lookup,
                                         const std::string& role) {
  FleetSettings fleet;
  fleet.adapter = TRY(RequireText(lookup, "adapter"));
  fleet.store = TRY(RequireAddress(lookup, "store"));
  fleet.callers = TRY(FindAddress(lookup, "callers"));
  fleet.directory = TRY(FindAddress(lookup, "directory"));
  fleet.readiness = TRY(FindAddress(lookup, "readiness"));
  fleet.peer_port = TRY(RequireFirstPort(lookup, "peer-ports"));
  fleet.metrics_port = TRY(RequirePort(lookup, "metrics-port"));
  fleet.seeds = TRY(FindSeeds(lookup));
  fleet.engine = TRY(FindAddress(lookup, "engine"));
  fleet.repeat_ratio = TRY(RequireNumber(lookup, "repeat-ratio"));
  fleet.repeat_slack = TRY(RequireNumber(lookup, "repeat-slack"));
  fleet.repeat_window = TRY(RequireSeconds(lookup, "repeat-window-seconds"));
  fleet.is_first_start = TRY(RequireBool(lookup, "first-start"));
  fleet.directory_lifetime = std::chrono::duration_cast<std::chrono::seconds>(
      TRY(RequireSeconds(lookup, "directory-lifetime-seconds")));
  fleet.stop_bound = TRY(RequireSeconds(lookup, "stop-bound-seconds"));
  fleet.notice_bound =
      TRY(RequireMilliseconds(lookup, "notice-bound-milliseconds"));
  fleet.usage_interval = TRY(RequireSeconds(lookup, "usage-interval-seconds"));
  fleet.group_fan_out = TRY(RequireFanOut(lookup));
  constexpr double kBytesPerMegabit = 125'000;
  fleet.link_bytes_per_second =
      kBytesPerMegabit * TRY(RequireNumber(lookup, "link-megabits"));
  if (role == "gateway" && !fleet.callers) {
    return FailFor("callers", lookup("callers"), "IP:PORT");
  }
  if (role == "rank" && !fleet.engine) {
    return FailFor("engine", lookup("engine"), "IP:PORT of the model server");
  }
  return fleet;
}

Result<telemetry::LogFilter> RequireLogFilter(const SettingLookup& lookup) {
  const SettingText level = lookup("log-level");
  auto filter = telemetry::ParseLogFilter(level.text);
  if (filter.has_error()) {
    return FailFor("log-level", level,
                   "debug, info, warning or error, then MODULE=LEVEL, all "
                   "separated by commas");
  }
  return filter;
}

}  // namespace

Result<Settings> ParseSettings(const SettingLookup& lookup) {
  Settings settings;
  settings.role = TRY(RequireText(lookup, "role"));
  settings.name = TRY(RequireName(lookup));
  settings.zone = TRY(RequireText(lookup, "zone"));
  settings.ip = TRY(RequireText(lookup, "ip"));
  const SettingText own_ip = lookup("ip");
  if (ParseAddress(settings.ip + ":1").has_error()) {
    return FailFor("ip", own_ip, "an IPv4 number");
  }
  settings.log_filter = TRY(RequireLogFilter(lookup));
  constexpr double kBytesPerMegabyte = 1 << 20;
  settings.memory_bytes = static_cast<uint64_t>(
      kBytesPerMegabyte * TRY(RequireNumber(lookup, "memory-megabytes")));
  settings.max_descriptors = TRY(FindMaxDescriptors(lookup));
  if (settings.role == "gateway" || settings.role == "rank") {
    settings.fleet = TRY(ParseFleetSettings(lookup, settings.role));
    return settings;
  }
  settings.caller_port = TRY(RequirePort(lookup, "caller-port"));
  settings.link_port = TRY(RequirePort(lookup, "link-port"));
  settings.key_value_service = TRY(RequireAddress(lookup, "key-value-service"));
  settings.vm_list = TRY(RequireAddress(lookup, "vm-list"));
  if (!lookup("target").text.empty()) {
    settings.target = TRY(RequireAddress(lookup, "target"));
  }
  if (settings.role == "agent" && !settings.target) {
    return FailFor("target", lookup("target"), "IP:PORT of the back end");
  }
  settings.target_slots = TRY(RequireSlots(lookup));
  settings.operator_key_sha256 =
      TRY(RequireText(lookup, "operator-key-sha256"));
  settings.drain_bound = TRY(RequireSeconds(lookup, "drain-bound-seconds"));
  return settings;
}

}  // namespace bramleyspan
