#include "LibCatalogue/Watchers.h"

#include <xxhash.h>

#include <algorithm>

namespace bramleyspan::catalogue {

namespace {

uint64_t HashName(const std::string& entry) {
  return XXH3_64bits(entry.data(), entry.size());
}

}  // namespace

bool is_watcher(const std::string& self,
                const std::vector<std::string>& others_in_zone) {
  const uint64_t own_hash = HashName(self);
  const auto lower_hashes = std::ranges::count_if(
      others_in_zone,
      [&](const std::string& other) { return HashName(other) < own_hash; });
  return static_cast<size_t>(lower_hashes) < kWatchersPerZone;
}

}  // namespace bramleyspan::catalogue
