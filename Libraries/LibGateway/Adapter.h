// Names and formats that the gateway takes from the platform it runs on.
// Adapters register themselves as plugins; no other code of the product depends
// on a platform's names.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/EventLoop.h"
#include "Kernel/Plugin.h"
#include "LibGateway/CallHeaders.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/Targets.h"
#include "LibPlatform/Store.h"

namespace bramleyspan::gateway {

struct Adapter {
  CallHeaders headers;
  std::string readiness_path;
  std::string directory_path;
  // Path that a target answers at once, whatever it answers.
  std::string liveness_path;
  // Parameter of the directory's query that names the caller's zone.
  std::string caller_zone_parameter;
  std::string table_key;
  // Prefix of the keys of evacuated zones, which end with the zone's name.
  std::string evacuations_prefix;
  // Prefix of both.
  std::string desired_prefix;
  std::string targets_prefix;

  platform::Store (*open_store)(EventLoop& loop,
                                const Address& address) = nullptr;
  // Fails with kMalformedDocument.
  Result<RouteTable> (*parse_table)(const std::string& document) = nullptr;
  // Returns nothing if the record names no usable target.
  std::optional<Target> (*parse_target)(std::string_view key,
                                        const std::string& record) = nullptr;
  // Returns the body of the directory's answer.
  std::string (*write_directory)(const std::vector<std::string>& addresses,
                                 std::chrono::seconds lifetime) = nullptr;
};

// Creates the adapter of a platform.
using MakeAdapter = Adapter (*)();

}  // namespace bramleyspan::gateway
