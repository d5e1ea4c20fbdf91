// Decides which gateways a caller may connect to. In a large fleet these are
// the ones of the caller's own availability zone, as long as they are enough
// for the callers of a zone: traffic between zones is charged.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspan::gateway {

// A gateway that callers may be sent to.
struct ListedGateway {
  std::string zone;
  std::string address;
};

// Most addresses in an answer.
inline constexpr size_t kMaxAddresses = 64;

// Returns the addresses for a caller in this zone, at most kMaxAddresses. If
// there are more, they are drawn at random, so that each gateway gets callers.
std::vector<std::string> AddressesFor(
    const std::vector<ListedGateway>& gateways,
    std::string_view caller_zone,
    uint64_t random_bits);

}  // namespace bramleyspan::gateway
