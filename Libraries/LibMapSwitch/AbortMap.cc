// The map that the owner's rank prepares so that it can't be armed any more.
#include <algorithm>

#include "LibMapSwitch/Switch.h"

namespace bramleyspan::mapswitch {

bool lacks_abort_map(const MapSwitch& map_switch) {
  return map_switch.phase == SwitchPhase::kAborting &&
         map_switch.abort_map.empty() && map_switch.desired_map.map.empty();
}

ExpertLists MakeAbortMap(const std::vector<std::vector<uint16_t>>& own_lists,
                         uint32_t ranks,
                         uint32_t experts) {
  ExpertLists map;
  for (const auto& own : own_lists) {
    std::vector<std::vector<uint16_t>> lists(ranks);
    lists.front() = own;
    uint32_t next = 0;
    for (uint32_t expert = 0; expert < experts && ranks > 1; ++expert) {
      if (std::find(own.begin(), own.end(), expert) == own.end()) {
        lists[1 + next % (ranks - 1)].push_back(static_cast<uint16_t>(expert));
        ++next;
      }
    }
    map.push_back(std::move(lists));
  }
  return map;
}

}  // namespace bramleyspan::mapswitch
