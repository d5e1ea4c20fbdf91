// The availability zones that the operator evacuates: their targets get no
// further requests until the zone is restored. Requests that already run there
// go on, and a group that spans several zones keeps all its ranks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

struct EvacuatedZone {
  // The store's revision of the operator's request.
  uint64_t revision = 0;
  // When this gateway received it.
  TimePoint since;
};

struct EvacuatedZones {
  std::map<std::string, EvacuatedZone, std::less<>> by_name;
};

// Records that the operator evacuates a zone. Returns whether that is new.
bool ApplyEvacuation(EvacuatedZones& zones,
                     const std::string& zone,
                     uint64_t revision,
                     TimePoint now);

// Records that a zone is restored. Returns whether it was evacuated.
bool ApplyRestoration(EvacuatedZones& zones, std::string_view zone);

bool is_evacuated(const EvacuatedZones& zones, std::string_view zone);

}  // namespace bramleyspan::gateway
