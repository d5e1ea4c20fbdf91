// Which entries hold a watch on the key-value service. A waiting watch counts
// as a call, and every watcher reads each change: a few per zone watch and pass
// the news on, so that the service's load grows with zones and not entries.
#pragma once

#include <string>
#include <vector>

namespace bramleyspan::catalogue {

inline constexpr size_t kWatchersPerZone = 2;

// Whether `self` is among the watchers of its zone, given the other entries of
// the zone that are linked and not leaving. Two entries that see different
// others may both watch, which costs a call; that none watches in any zone
// takes each of them seeing two others that nobody else sees.
bool is_watcher(const std::string& self,
                const std::vector<std::string>& others_in_zone);

}  // namespace bramleyspan::catalogue
