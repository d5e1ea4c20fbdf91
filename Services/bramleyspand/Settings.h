// The settings of the daemon, from flags and environment variables.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/Result.h"
#include "Kernel/Time.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan {

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
  // The longest time that a planned stop waits for what is in flight.
  Duration drain_bound = std::chrono::minutes(10);
  // Requests that the back end beside an agent runs at once.
  uint32_t target_slots = 16;
  // The digest of the key that operators show.
  std::string operator_key_sha256;
  telemetry::LogFilter log_filter;
};

// The raw text of a setting and where it came from.
struct SettingText {
  std::string text;
  std::string source;
};

// Looks a setting up by its name, such as "link-port".
using SettingLookup = std::function<SettingText(const std::string& name)>;

// Checks all settings. Fails with kInvalidSetting that names the setting, its
// source, its value and what is allowed.
Result<Settings> ParseSettings(const SettingLookup& lookup);

}  // namespace bramleyspan
