#include "Services/bramleyspand/Flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "Kernel/Plugin.h"

ABSL_FLAG(std::string,
          role,
          "",
          "role of this process: entry, agent, gateway or rank");
ABSL_FLAG(std::string, name, "", "name of this VM in the VM list");
ABSL_FLAG(std::string, zone, "", "availability zone of this VM");
ABSL_FLAG(std::string, ip, "", "IP number that this process listens on");
ABSL_FLAG(std::string,
          caller_port,
          "",
          "port for callers, operators and metrics; the same on all VMs");
ABSL_FLAG(std::string,
          link_port,
          "",
          "port for the system's own processes; the same on all VMs");
ABSL_FLAG(std::string,
          key_value_service,
          "",
          "IP:PORT of the platform's key-value service");
ABSL_FLAG(std::string, vm_list, "", "IP:PORT of the platform's VM list");
ABSL_FLAG(std::string, target, "", "IP:PORT of the back end beside an agent");
ABSL_FLAG(std::string,
          target_slots,
          "",
          "requests that the back end beside an agent runs at once");
ABSL_FLAG(std::string,
          operator_key_sha256,
          "",
          "SHA-256 in hexadecimal of the key that operators present");
ABSL_FLAG(std::string,
          drain_bound_seconds,
          "",
          "longest time that a planned stop waits for work in flight");
ABSL_FLAG(std::string,
          log_level,
          "",
          "lowest level logged, for all or by module: info,links=debug");
ABSL_FLAG(std::string,
          adapter,
          "",
          "the adapter of the platform that a gateway or rank runs on");
ABSL_FLAG(std::string, store, "", "IP:PORT of the platform's key-value store");
ABSL_FLAG(std::string, callers, "", "IP:PORT where a gateway serves callers");
ABSL_FLAG(std::string,
          directory,
          "",
          "IP:PORT where a gateway serves the directory, which names the "
          "addresses that callers may connect to");
ABSL_FLAG(std::string,
          readiness,
          "",
          "IP:PORT where a gateway reports whether it is ready");
ABSL_FLAG(std::string,
          peer_ports,
          "",
          "first port for the system's own processes, then others; the same on "
          "all VMs");
ABSL_FLAG(std::string, metrics_port, "", "port for metrics");
ABSL_FLAG(std::string,
          seeds,
          "",
          "IP:PORT of processes that may be running, separated by commas");
ABSL_FLAG(std::string,
          engine,
          "",
          "IP:PORT of the model server beside a rank's agent");
ABSL_FLAG(std::string,
          repeat_ratio,
          "",
          "repeats that all gateways together may send for each request");
ABSL_FLAG(
    std::string,
    repeat_slack,
    "",
    "repeats that all gateways together may send in addition in each window");
ABSL_FLAG(std::string,
          repeat_window_seconds,
          "",
          "the window in which repeats are counted");
ABSL_FLAG(std::string,
          first_start,
          "",
          "true if no process of the system ran before: nothing was repeated");
ABSL_FLAG(std::string,
          directory_lifetime_seconds,
          "",
          "how long callers may use the directory's answer");
ABSL_FLAG(std::string,
          stop_bound_seconds,
          "",
          "after this time the platform kills a stopping process");
ABSL_FLAG(
    std::string,
    notice_bound_milliseconds,
    "",
    "a store channel that stops delivering must be detected within this time");
ABSL_FLAG(std::string,
          usage_interval_seconds,
          "",
          "how often a gateway writes usage documents; a kill loses the work "
          "since the last write");
ABSL_FLAG(
    std::string,
    group_fan_out,
    "",
    "most ranks of a group that one agent exchanges messages with directly, "
    "2 to 64; the same on all VMs");
ABSL_FLAG(std::string,
          link_megabits,
          "",
          "bandwidth of this VM's network link in Mbit/s; transfers of expert "
          "maps take half of it");
ABSL_FLAG(std::string,
          memory_megabytes,
          "",
          "memory that the process may take; what it holds for callers and "
          "targets takes a quarter of it");
ABSL_FLAG(std::string,
          max_descriptors,
          "",
          "descriptors that the process may have open; 0, or more than the "
          "system allows, is what that allows");

namespace bramleyspan {

namespace {

constexpr std::string_view kVariablePrefix = "BRAMLEYSPAN_";

// A setting, its flag and its default value.
struct SettingRow {
  std::string name;
  absl::Flag<std::string>* flag;
  std::string default_value;
};

const auto& SettingRows() {
  static const std::array rows{
      SettingRow{"role", &FLAGS_role, ""},
      SettingRow{"name", &FLAGS_name, ""},
      SettingRow{"zone", &FLAGS_zone, ""},
      SettingRow{"ip", &FLAGS_ip, ""},
      SettingRow{"caller-port", &FLAGS_caller_port, "8080"},
      SettingRow{"link-port", &FLAGS_link_port, "8081"},
      SettingRow{"key-value-service", &FLAGS_key_value_service, ""},
      SettingRow{"vm-list", &FLAGS_vm_list, ""},
      SettingRow{"target", &FLAGS_target, ""},
      SettingRow{"target-slots", &FLAGS_target_slots, "16"},
      SettingRow{"operator-key-sha256", &FLAGS_operator_key_sha256, ""},
      SettingRow{"drain-bound-seconds", &FLAGS_drain_bound_seconds, "600"},
      SettingRow{"adapter", &FLAGS_adapter, "kv"},
      SettingRow{"store", &FLAGS_store, ""},
      SettingRow{"callers", &FLAGS_callers, ""},
      SettingRow{"directory", &FLAGS_directory, ""},
      SettingRow{"readiness", &FLAGS_readiness, ""},
      SettingRow{"peer-ports", &FLAGS_peer_ports, ""},
      SettingRow{"metrics-port", &FLAGS_metrics_port, "9464"},
      SettingRow{"seeds", &FLAGS_seeds, ""},
      SettingRow{"engine", &FLAGS_engine, ""},
      SettingRow{"repeat-ratio", &FLAGS_repeat_ratio, "0.1"},
      SettingRow{"repeat-slack", &FLAGS_repeat_slack, "0"},
      SettingRow{"repeat-window-seconds", &FLAGS_repeat_window_seconds, "10"},
      SettingRow{"first-start", &FLAGS_first_start, "false"},
      SettingRow{"directory-lifetime-seconds",
                 &FLAGS_directory_lifetime_seconds, "1"},
      SettingRow{"stop-bound-seconds", &FLAGS_stop_bound_seconds, "8"},
      SettingRow{"notice-bound-milliseconds", &FLAGS_notice_bound_milliseconds,
                 "2000"},
      SettingRow{"usage-interval-seconds", &FLAGS_usage_interval_seconds, "30"},
      SettingRow{"group-fan-out", &FLAGS_group_fan_out, "12"},
      SettingRow{"link-megabits", &FLAGS_link_megabits, "100"},
      SettingRow{"memory-megabytes", &FLAGS_memory_megabytes, "128"},
      SettingRow{"max-descriptors", &FLAGS_max_descriptors, "0"},
      SettingRow{"log-level", &FLAGS_log_level, "info"},
  };
  return rows;
}

std::string VariableOf(const std::string& name) {
  std::string variable(kVariablePrefix);
  for (const char letter : name) {
    variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
  }
  return variable;
}

// Variables of bramleyspanctl, which may be set in an operator's shell.
constexpr std::array<std::string_view, 2> kToolVariables{
    "BRAMLEYSPAN_ENTRIES", "BRAMLEYSPAN_OPERATOR_KEY"};

bool is_known_variable(std::string_view variable) {
  if (std::find(kToolVariables.begin(), kToolVariables.end(), variable) !=
      kToolVariables.end()) {
    return true;
  }
  const bool is_foreign = PluginRegistry<ForeignVariable>::Instance()
                              .Find(std::string(variable))
                              .has_value();
  if (is_foreign) {
    return true;
  }
  return std::any_of(
      SettingRows().begin(), SettingRows().end(),
      [&](const SettingRow& row) { return VariableOf(row.name) == variable; });
}

// Returns the flag of a word such as "--link_port"; null if there is none.
absl::Flag<std::string>* FindFlag(std::string word) {
  if (!word.starts_with("--")) {
    return nullptr;
  }
  word.erase(0, 2);
  std::replace(word.begin(), word.end(), '_', '-');
  for (const SettingRow& row : SettingRows()) {
    if (row.name == word) {
      return row.flag;
    }
  }
  return nullptr;
}

}  // namespace

SettingText LookupFlagOrEnvironment(const std::string& name) {
  for (const SettingRow& row : SettingRows()) {
    if (row.name != name) {
      continue;
    }
    const std::string flag = absl::GetFlag(*row.flag);
    if (!flag.empty()) {
      return {flag, "flag --" + name};
    }
    const std::string variable = VariableOf(name);
    if (const char* value = std::getenv(variable.c_str())) {
      return {value, "environment variable " + variable};
    }
    return {row.default_value, "the default"};
  }
  return {"", "nowhere"};
}

Result<void> RefuseUnknownVariables() {
  for (char** item = environ; *item != nullptr; ++item) {
    const std::string_view assignment(*item);
    const std::string_view variable =
        assignment.substr(0, assignment.find('='));
    if (variable.starts_with(kVariablePrefix) && !is_known_variable(variable)) {
      return Fail(ErrorCode::kInvalidSetting, std::string(variable),
                  "this environment variable is not a setting; see --help");
    }
  }
  return Succeed();
}

std::string FlagFiles() {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag("flagfile");
  return flag == nullptr ? "" : flag->CurrentValue();
}

Result<void> ReloadFlagFiles() {
  std::vector<std::pair<absl::Flag<std::string>*, std::string>> changes;
  std::istringstream paths(FlagFiles());
  for (std::string path; std::getline(paths, path, ',');) {
    std::ifstream file(path);
    if (!file) {
      return Fail(ErrorCode::kInvalidSetting, path, "cannot be read");
    }
    for (std::string line; std::getline(file, line);) {
      if (line.empty() || line.starts_with('#')) {
        continue;
      }
      const size_t equals = line.find('=');
      absl::Flag<std::string>* flag = FindFlag(line.substr(0, equals));
      if (flag == nullptr || equals == std::string::npos) {
        return Fail(ErrorCode::kInvalidSetting, line,
                    "not a setting; see --help");
      }
      changes.emplace_back(flag, line.substr(equals + 1));
    }
  }
  for (const auto& [flag, value] : changes) {
    absl::SetFlag(flag, value);
  }
  return Succeed();
}

std::string UsageMessage() {
  std::string text =
      "bramleyspand: the daemon of bramleyspan.\n"
      "Every setting is a flag or an environment variable; the flag goes "
      "first.\n\nsettings (default):\n";
  for (const SettingRow& row : SettingRows()) {
    std::string flag = row.name;
    std::replace(flag.begin(), flag.end(), '-', '_');
    text.append("  --").append(flag).append("  ");
    text.append(VariableOf(row.name));
    text.append(row.default_value.empty() ? ""
                                          : "  (" + row.default_value + ")");
    text.append("  ").append(row.flag->Help()).append("\n");
  }
  return text;
}

}  // namespace bramleyspan
