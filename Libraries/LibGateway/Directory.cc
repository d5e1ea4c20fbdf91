#include "LibGateway/Directory.h"

#include <algorithm>
#include <random>
#include <set>

namespace bramleyspan::gateway {

namespace {

// Fleets up to this size are not divided by zone: a zone has too few gateways
// to spread callers over.
constexpr size_t kMaxSmallFleet = 12;

// Whether the gateways of the zone are at least half of an even share of all.
bool can_carry_zone(size_t in_zone, size_t gateways, size_t zones) {
  return 2 * in_zone * zones >= gateways;
}

}  // namespace

std::vector<std::string> AddressesFor(
    const std::vector<ListedGateway>& gateways,
    std::string_view caller_zone,
    uint64_t random_bits) {
  std::set<std::string_view> zones;
  std::vector<std::string> all;
  std::vector<std::string> in_zone;
  for (const ListedGateway& gateway : gateways) {
    zones.insert(gateway.zone);
    all.push_back(gateway.address);
    if (gateway.zone == caller_zone) {
      in_zone.push_back(gateway.address);
    }
  }
  const bool is_zone_preferred =
      gateways.size() > kMaxSmallFleet &&
      can_carry_zone(in_zone.size(), all.size(), zones.size());
  std::vector<std::string>& addresses = is_zone_preferred ? in_zone : all;
  if (addresses.size() > kMaxAddresses) {
    std::minstd_rand random(static_cast<uint32_t>(random_bits));
    std::shuffle(addresses.begin(), addresses.end(), random);
    addresses.resize(kMaxAddresses);
  }
  return addresses;
}

}  // namespace bramleyspan::gateway
