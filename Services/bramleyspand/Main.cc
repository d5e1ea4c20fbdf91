#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <array>
#include <cstdlib>
#include <iostream>

#include "Services/bramleyspand/Role.h"

ABSL_FLAG(std::string, role, "", "what this process is: entry or agent");
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
          operator_key_sha256,
          "",
          "SHA-256 in hexadecimal of the key that operators show");
ABSL_FLAG(std::string,
          drain_bound_seconds,
          "",
          "longest time that a planned stop waits for what is in flight");
ABSL_FLAG(std::string,
          log_level,
          "",
          "lowest level logged: debug, info, warning or error");
ABSL_FLAG(bool,
          check_settings,
          false,
          "check the settings, print the outcome and exit");

namespace bramleyspan {

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitFailedStart = 1;

struct FlagRow {
  const char* name;
  absl::Flag<std::string>* flag;
  const char* fallback;
};

const std::array<FlagRow, 11>& FlagRows() {
  static const std::array<FlagRow, 11> rows{{
      {"role", &FLAGS_role, ""},
      {"name", &FLAGS_name, ""},
      {"zone", &FLAGS_zone, ""},
      {"ip", &FLAGS_ip, ""},
      {"caller-port", &FLAGS_caller_port, "8080"},
      {"link-port", &FLAGS_link_port, "8081"},
      {"key-value-service", &FLAGS_key_value_service, ""},
      {"vm-list", &FLAGS_vm_list, ""},
      {"target", &FLAGS_target, ""},
      {"operator-key-sha256", &FLAGS_operator_key_sha256, ""},
      {"drain-bound-seconds", &FLAGS_drain_bound_seconds, "600"},
  }};
  return rows;
}

std::string EnvironmentNameOf(const std::string& name) {
  std::string variable = "BRAMLEYSPAN_";
  for (const char letter : name) {
    variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
  }
  return variable;
}

SettingText LookupRow(const FlagRow& row) {
  const std::string flag = absl::GetFlag(*row.flag);
  if (!flag.empty()) {
    return {flag, "flag --" + std::string(row.name)};
  }
  const std::string variable = EnvironmentNameOf(row.name);
  if (const char* value = std::getenv(variable.c_str())) {
    return {value, "environment variable " + variable};
  }
  return {row.fallback, "the default"};
}

int Run(const Settings& settings) {
  const auto start = PluginRegistry<StartRole>::Instance().Find(settings.role);
  if (start.has_error()) {
    std::cerr << Describe(start.error()) << "\n";
    return kExitBadSettings;
  }
  telemetry::StartLog(settings.name, settings.log_level);
  EventLoop loop;
  auto role = start.value()(loop, settings);
  if (role.has_error()) {
    std::cerr << Describe(role.error()) << "\n";
    return kExitFailedStart;
  }
  loop.OnStopSignal([&role] { role.value()->StartDrain(); });
  telemetry::Log(telemetry::LogLevel::kInfo, "main", "started",
                 {{"role", settings.role}, {"zone", settings.zone}});
  loop.Run();
  telemetry::Log(telemetry::LogLevel::kInfo, "main", "stopped");
  return 0;
}

}  // namespace

SettingText LookupFlagOrEnvironment(const std::string& name) {
  if (name == "log-level") {
    return LookupRow({"log-level", &FLAGS_log_level, "info"});
  }
  for (const FlagRow& row : FlagRows()) {
    if (row.name == name) {
      return LookupRow(row);
    }
  }
  return {"", "nowhere"};
}

}  // namespace bramleyspan

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(
      "bramleyspand: the daemon of bramleyspan. Each flag can be given as an "
      "environment variable instead: --link-port as BRAMLEYSPAN_LINK_PORT.");
  absl::ParseCommandLine(argument_count, arguments);
  const auto settings =
      bramleyspan::ParseSettings(bramleyspan::LookupFlagOrEnvironment);
  if (settings.has_error()) {
    std::cerr << bramleyspan::Describe(settings.error()) << "\n";
    return bramleyspan::kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return bramleyspan::Run(settings.value());
}
