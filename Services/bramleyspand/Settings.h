// The settings of the daemon, from flags and environment variables.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Address.h"
#include "Kernel/Result.h"
#include "Kernel/Time.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan {

// Settings of the roles on a platform with a store: gateway and rank.
struct FleetSettings {
  // Name of the platform's adapter.
  std::string adapter;
  Address store;
  // Where a gateway serves callers, its directory and its readiness.
  std::optional<Address> callers;
  std::optional<Address> directory;
  std::optional<Address> readiness;
  // Port for the system's own processes; the same on all VMs.
  uint16_t peer_port = 0;
  uint16_t metrics_port = 0;
  // IP numbers of processes that may be running.
  std::vector<std::string> seeds;
  // The model server beside a rank's agent.
  std::optional<Address> engine;
  // In any window all gateways together may send this many repeats for each
  // request, and `repeat_slack` more.
  double repeat_ratio = 0;
  double repeat_slack = 0;
  Duration repeat_window{};
  // Whether no process of the system ran before.
  bool is_first_start = false;
  // How long callers may use an answer of the directory.
  std::chrono::seconds directory_lifetime{1};
  // The platform kills a stopping process after this time.
  Duration stop_bound{};
  // A store channel that stops delivering must be detected within this time.
  Duration notice_bound{};
  // How often a gateway writes usage documents.
  Duration usage_interval{};
  // Most ranks of a group that one agent exchanges messages with directly.
  uint32_t group_fan_out = 0;
  // Bandwidth of this machine's network link.
  double link_bytes_per_second = 0;
};

// Checked settings of one process.
struct Settings {
  std::string role;
  std::string name;
  std::string zone;
  std::string ip;
  uint16_t caller_port = 0;
  uint16_t link_port = 0;
  Address key_value_service;
  Address vm_list;
  // The back end beside an agent.
  std::optional<Address> target;
  // The longest time that a planned stop waits for work in flight.
  Duration drain_bound = std::chrono::minutes(10);
  // Requests that the back end beside an agent runs at once.
  uint32_t target_slots = 16;
  // SHA-256 of the key that operators present, in hexadecimal.
  std::string operator_key_sha256;
  telemetry::LogFilter log_filter;
  // Memory that the process may take, and descriptors that it may have open.
  uint64_t memory_bytes = 0;
  uint64_t max_descriptors = 0;
  // Set for the roles gateway and rank only.
  std::optional<FleetSettings> fleet;
};

// The text of a setting and its source.
struct SettingText {
  std::string text;
  std::string source;
};

// Returns the text of a setting by name, such as "link-port".
using SettingLookup = std::function<SettingText(const std::string& name)>;

// Checks all settings. Fails with kInvalidSetting; the error names the setting,
// its source, its value and what is allowed.
Result<Settings> ParseSettings(const SettingLookup& lookup);

}  // namespace bramleyspan
