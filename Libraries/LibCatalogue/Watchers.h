// Decides which entries watch the key-value service. A pending watch counts as
// a call, and every watcher reads each change. Only a few entries of a zone
// watch and announce changes to the others, so that the load on the service
// grows with the number of zones and not of entries.
#pragma once

#include <string>
#include <vector>

namespace bramleyspan::catalogue {

inline constexpr size_t kWatchersPerZone = 2;

// Whether `self` is a watcher of its zone, given the other entries of the zone
// that are linked and not leaving. Two entries with different views may both
// watch, which costs one more call. That no entry of any zone watches would
// require each of them to see two others that no other entry sees.
bool is_watcher(const std::string& self,
                const std::vector<std::string>& others_in_zone);

}  // namespace bramleyspan::catalogue
