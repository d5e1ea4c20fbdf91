#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>
#include <sys/stat.h>

#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

#include "Services/bramleyspand/Flags.h"
#include "Services/bramleyspand/Role.h"
#include "Services/bramleyspand/StandstillWatch.h"

ABSL_FLAG(bool,
          check_settings,
          false,
          "check the settings, print the outcome and exit");

namespace bramleyspan {

namespace {

constexpr int kMappedBytes = 128 * 1024;
constexpr int kExitBadSettings = 2;
constexpr int kExitFailedStart = 1;

Result<Settings> ReadSettings() {
  TRY(RefuseUnknownVariables());
  Settings settings = TRY(ParseSettings(LookupFlagOrEnvironment));
  TRY(PluginRegistry<StartRole>::Instance().Find(settings.role));
  return settings;
}

// Reads the settings again. Invalid settings change nothing: a mistake in a
// file must not stop a serving process.
void Reload(Role& role) {
  const Result<void> read = ReloadFlagFiles();
  if (read.has_error()) {
    telemetry::Log(telemetry::LogLevel::kError, "main", "reload_refused",
                   {{"error", Describe(read.error())}});
    return;
  }
  const auto settings = ReadSettings();
  if (settings.has_error()) {
    telemetry::Log(telemetry::LogLevel::kError, "main", "reload_refused",
                   {{"error", Describe(settings.error())}});
    return;
  }
  role.HandleSettings(settings.value());
  telemetry::Log(telemetry::LogLevel::kInfo, "main", "reloaded");
}

// Returns a text that changes when a settings file is written.
std::string StampOfFiles() {
  std::string stamp;
  std::istringstream paths(FlagFiles());
  for (std::string path; std::getline(paths, path, ',');) {
    struct stat status {};
    if (stat(path.c_str(), &status) == 0) {
      stamp += std::to_string(status.st_mtim.tv_sec) + "." +
               std::to_string(status.st_mtim.tv_nsec) + "," +
               std::to_string(status.st_size) + ";";
    }
  }
  return stamp;
}

// Reloads the settings when a file changes without a signal.
void WatchFiles(EventLoop& loop, Role& role, const std::string& seen) {
  constexpr Duration kFileCheckInterval = std::chrono::seconds(2);
  loop.RunAfter(kFileCheckInterval, [&loop, &role, seen] {
    const std::string stamp = StampOfFiles();
    if (stamp != seen) {
      Reload(role);
    }
    WatchFiles(loop, role, stamp);
  });
}

int Run(const Settings& settings) {
  const auto start = PluginRegistry<StartRole>::Instance().Find(settings.role);
  telemetry::StartLog(settings.name, settings.log_filter);
  EventLoop loop;
  std::unique_ptr<Role> role;
  // A signal that comes while the role starts is handled once the loop runs.
  loop.OnStopSignal([&role] { role->StartDrain(); });
  loop.OnReloadSignal([&role] { Reload(*role); });
  auto started = start.value()(loop, settings);
  if (started.has_error()) {
    std::cerr << Describe(started.error()) << "\n";
    return kExitFailedStart;
  }
  role = std::move(started).assume_value();
  WatchFiles(loop, *role, StampOfFiles());
  const bool has_engine = settings.fleet && settings.fleet->engine;
  WatchStandstills(loop, has_engine ? Format(*settings.fleet->engine) : "");
  telemetry::Log(
      telemetry::LogLevel::kInfo, "main", "started",
      {{"role", settings.role},
       {"zone", settings.zone},
       {"memory_bytes", std::to_string(settings.memory_bytes)},
       {"max_descriptors", std::to_string(settings.max_descriptors)}});
  loop.Run();
  // Callbacks of timers own requests, which use the role until they are gone.
  role->Close();
  loop.RemoveTimers();
  role.reset();
  telemetry::Log(telemetry::LogLevel::kInfo, "main", "stopped");
  return 0;
}

}  // namespace

}  // namespace bramleyspan

int main(int argument_count, char** arguments) {
  // Long texts are given back to the system when they are freed. By default the
  // C library keeps ever larger ones after the first one was freed.
  mallopt(M_MMAP_THRESHOLD, bramleyspan::kMappedBytes);
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
