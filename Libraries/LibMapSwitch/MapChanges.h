// A map of experts told as what differs from another one. A switch changes a
// list in a hundred, and the links beside ranks are small.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibMapSwitch/Rank.h"

namespace bramleyspan::mapswitch {

// The lists that differ; each place is set times ranks plus rank.
struct MapChanges {
  std::vector<uint16_t> places;
  std::vector<std::vector<uint16_t>> lists;
};

// Nothing if the maps are of different shapes, or too large for the places.
std::optional<MapChanges> Compare(const ExpertLists& base,
                                  const ExpertLists& map);

// Nothing if a place lies outside of the map, or a list is missing.
std::optional<ExpertLists> Apply(const ExpertLists& base,
                                 const MapChanges& changes);

}  // namespace bramleyspan::mapswitch
