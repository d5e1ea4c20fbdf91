#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

#include "Services/bramleyspand/Flags.h"
#include "Services/bramleyspand/Role.h"

ABSL_FLAG(bool,
          check_settings,
          false,
          "check the settings, print the outcome and exit");

namespace bramleyspan {

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitFailedStart = 1;

Result<Settings> ReadSettings() {
  TRY(RefuseUnknownVariables());
  Settings settings = TRY(ParseSettings(LookupFlagOrEnvironment));
  TRY(PluginRegistry<StartRole>::Instance().Find(settings.role));
  return settings;
}

int Run(const Settings& settings) {
  const auto start = PluginRegistry<StartRole>::Instance().Find(settings.role);
  telemetry::StartLog(settings.name, settings.log_filter);
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

}  // namespace bramleyspan

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(bramleyspan::UsageMessage());
  absl::ParseCommandLine(argument_count, arguments);
  const auto settings = bramleyspan::ReadSettings();
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
