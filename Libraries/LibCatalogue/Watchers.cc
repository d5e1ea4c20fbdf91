#include "LibCatalogue/Watchers.h"

#include <xxhash.h>

#include <algorithm>

namespace bramleyspan::catalogue {

namespace {

uint64_t RankOf(const std::string& entry) {
  return XXH3_64bits(entry.data(), entry.size());
}

}  // namespace

bool is_watcher(const std::string& self,
                const std::vector<std::string>& others_in_zone) {
  const uint64_t own_rank = RankOf(self);
  const auto before_us = std::ranges::count_if(
      others_in_zone,
      [&](const std::string& other) { return RankOf(other) < own_rank; });
  return static_cast<size_t>(before_us) < kWatchersPerZone;
}

}  // namespace bramleyspan::catalogue
