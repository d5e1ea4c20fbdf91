#include "LibMapSwitch/MapChanges.h"

namespace bramleyspan::mapswitch {

std::optional<MapChanges> Compare(const ExpertLists& base,
                                  const ExpertLists& map) {
  if (base.empty() || base.size() != map.size() ||
      base.size() * base[0].size() > UINT16_MAX) {
    return std::nullopt;
  }
  MapChanges changes;
  const size_t ranks = base[0].size();
  for (size_t set = 0; set < map.size(); ++set) {
    if (base[set].size() != ranks || map[set].size() != ranks) {
      return std::nullopt;
    }
    for (size_t rank = 0; rank < ranks; ++rank) {
      if (base[set][rank] != map[set][rank]) {
        changes.indices.push_back(static_cast<uint16_t>(set * ranks + rank));
        changes.lists.push_back(map[set][rank]);
      }
    }
  }
  return changes;
}

std::optional<ExpertLists> Apply(const ExpertLists& base,
                                 const MapChanges& changes) {
  if (base.empty() || base[0].empty() ||
      changes.indices.size() != changes.lists.size()) {
    return std::nullopt;
  }
  ExpertLists map = base;
  const size_t ranks = base[0].size();
  for (size_t i = 0; i < changes.indices.size(); ++i) {
    const size_t set = changes.indices[i] / ranks;
    const size_t rank = changes.indices[i] % ranks;
    if (set >= map.size() || rank >= map[set].size()) {
      return std::nullopt;
    }
    map[set][rank] = changes.lists[i];
  }
  return map;
}

}  // namespace bramleyspan::mapswitch
