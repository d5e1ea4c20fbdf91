#include <doctest/doctest.h>

#include <map>
#include <set>

#include "LibGateway/Directory.h"

namespace bramleyspan::gateway {

namespace {

// Returns `count` gateways in each of the zones.
std::vector<ListedGateway> GatewaysIn(const std::map<std::string, int>& zones) {
  std::vector<ListedGateway> gateways;
  for (const auto& [zone, count] : zones) {
    for (int number = 0; number < count; ++number) {
      gateways.push_back(
          {.zone = zone, .address = zone + std::to_string(number)});
    }
  }
  return gateways;
}

}  // namespace

TEST_CASE("Callers of a large fleet get the gateways of their zone") {
  const auto gateways = GatewaysIn({{"a", 14}, {"b", 13}, {"c", 13}});
  const auto addresses = AddressesFor(gateways, "b", 1);
  CHECK(addresses.size() == 13);
  CHECK(addresses.front() == "b0");
  CHECK(AddressesFor(gateways, "unknown", 1).size() == 40);
}

TEST_CASE("Callers of a small fleet get all gateways") {
  CHECK(
      AddressesFor(GatewaysIn({{"a", 3}, {"b", 3}, {"c", 3}}), "a", 1).size() ==
      9);
}

// Failure: most gateways of a zone have lost power, and all callers of the zone
// go to the few that are left.
TEST_CASE("Callers get all gateways if their zone has lost most of its own") {
  const auto gateways = GatewaysIn({{"a", 4}, {"b", 13}, {"c", 13}});
  CHECK(AddressesFor(gateways, "a", 1).size() == 30);
  CHECK(AddressesFor(gateways, "b", 1).size() == 13);
}

// Failure: an answer holds the first 64 gateways by name, and the others never
// get a caller.
TEST_CASE("Each gateway of a zone is in some answer") {
  const auto gateways = GatewaysIn({{"a", 113}, {"b", 113}, {"c", 114}});
  std::set<std::string> seen;
  for (uint64_t bits = 1; bits < 50; ++bits) {
    const auto addresses = AddressesFor(gateways, "c", bits * 7919);
    CHECK(addresses.size() == kMaxAddresses);
    seen.insert(addresses.begin(), addresses.end());
  }
  CHECK(seen.size() == 114);
}

TEST_CASE("An answer for no gateways is empty") {
  CHECK(AddressesFor({}, "a", 1).empty());
}

}  // namespace bramleyspan::gateway
