#include "LibGateway/EvacuatedZones.h"

namespace bramleyspan::gateway {

bool ApplyEvacuation(EvacuatedZones& zones,
                     const std::string& zone,
                     uint64_t revision,
                     TimePoint now) {
  const auto [known, is_new] = zones.by_name.try_emplace(zone);
  if (is_new) {
    known->second.since = now;
  }
  known->second.revision = revision;
  return is_new;
}

bool ApplyRestoration(EvacuatedZones& zones, std::string_view zone) {
  const auto known = zones.by_name.find(zone);
  if (known == zones.by_name.end()) {
    return false;
  }
  zones.by_name.erase(known);
  return true;
}

bool is_evacuated(const EvacuatedZones& zones, std::string_view zone) {
  return zones.by_name.contains(zone);
}

}  // namespace bramleyspan::gateway
