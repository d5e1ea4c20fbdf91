// An expert map encoded as its differences from another one. A switch changes
// about one list in a hundred, and the links between ranks are slow.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibMapSwitch/Rank.h"

namespace bramleyspan::mapswitch {

// The lists that differ. An index is set * number of ranks + rank.
struct MapChanges {
  std::vector<uint16_t> indices;
  std::vector<std::vector<uint16_t>> lists;
};

// Returns the lists of `map` that differ from `base`, or nothing if the maps
// have different shapes or more lists than an index can count.
std::optional<MapChanges> Compare(const ExpertLists& base,
                                  const ExpertLists& map);

// Returns `base` with the changes applied, or nothing if an index is out of
// range or the numbers of indices and lists differ.
std::optional<ExpertLists> Apply(const ExpertLists& base,
                                 const MapChanges& changes);

}  // namespace bramleyspan::mapswitch
