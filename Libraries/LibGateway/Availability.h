// Tracks whether any group of a service can run streams. A group that is being
// formed opens within seconds, and a caller may wait for it; one that lacks
// ranks stays closed until the platform starts more of them, and its callers
// are rejected at once.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

// The reported ranks of one group.
struct GroupRanks {
  uint32_t reported = 0;
  uint32_t size = 0;
  bool is_open = false;
};

struct Availability {
  // Groups by name.
  std::map<std::string, GroupRanks> groups;
  // The time since which every group has been closed; none if one is open or
  // the state of a rank is unknown.
  std::optional<TimePoint> closed_since;
};

// Updates a service's availability by what its ranks reported.
void UpdateAvailability(Availability& availability,
                        const TargetTable& targets,
                        std::string_view service,
                        TimePoint now);

// Whether every group has been closed for longer than forming one takes.
bool is_unavailable(const Availability& availability, TimePoint now);

// Describes the groups for operators: name, reported ranks and size.
std::string Describe(const Availability& availability);

}  // namespace bramleyspan::gateway
