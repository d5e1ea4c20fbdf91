// What the gateway needs to know of the platform that it runs on: names and
// formats only. Adapters register themselves; nothing else in the product
// knows how a platform spells things.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/EventLoop.h"
#include "Kernel/Plugin.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/Targets.h"
#include "LibPlatform/Store.h"

namespace bramleyspan::gateway {

// Header names, in lower case.
struct CallHeaders {
  // Names one attempt of a caller; targets echo it.
  std::string attempt;
  // Milliseconds that the caller will wait.
  std::string deadline;
  // The caller's key, which goes no further.
  std::string key;
  // The tenant whom the key belongs to; ours alone to set.
  std::string tenant;
  // The target that alone may run the request.
  std::string expected_target;
  // Marks an answer as a target's own.
  std::string stamp;
  // Says that the target did not run the request.
  std::string not_run;
  // The last event that the caller has of a stream.
  std::string last_event;
  // The urgency at a target.
  std::string priority;
  // Tokens of the prompt and of the answer at most, separated by a comma.
  std::string tokens;
  // Further headers that only the system may set.
  std::vector<std::string> reserved;
};

struct Adapter {
  CallHeaders headers;
  std::string readiness_path;
  std::string directory_path;
  std::string table_key;
  std::string table_prefix;
  std::string targets_prefix;

  platform::Store (*open_store)(EventLoop& loop,
                                const Address& address) = nullptr;
  // Fails with kMalformedDocument.
  Result<RouteTable> (*parse_table)(const std::string& document) = nullptr;
  // Nothing if the record names no target to use.
  std::optional<Target> (*parse_target)(std::string_view key,
                                        const std::string& record) = nullptr;
  // The directory's answer.
  std::string (*write_directory)(const std::vector<std::string>& addresses,
                                 std::chrono::seconds lifetime) = nullptr;
};

// Makes the adapter of a platform.
using MakeAdapter = Adapter (*)();

}  // namespace bramleyspan::gateway
