// Links between the system's processes.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Kernel/Time.h"
#include "LibCatalogue/Shards.h"
#include "LibWire/Connection.h"

namespace bramleyspan {

// A connection to a peer and what the peer has reported about itself.
struct Link {
  std::shared_ptr<wire::Connection> connection;
  std::string process;
  std::string role;
  std::string zone;
  uint64_t incarnation = 0;
  // The change that the peer last reported as in force, and when it first did.
  catalogue::AcceptedChange in_force;
  TimePoint in_force_since{};
  // Whether the peer has sent Hello.
  bool has_sent_hello = false;
  bool is_leaving = false;
};

// Links by the name of the peer's VM.
using LinkMap = std::map<std::string, Link>;

// Returns the link to a VM that accepts new work; null if there is none.
inline const Link* FindUsableLink(const LinkMap& links,
                                  const std::string& name) {
  const auto found = links.find(name);
  if (found == links.end() || found->second.is_leaving ||
      !found->second.connection->is_open()) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace bramleyspan
