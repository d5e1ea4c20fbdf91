// Which gateways the directory names to callers.
#pragma once

#include <string>
#include <vector>

#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

// Returns the addresses that a caller in this zone may connect to. Callers keep
// an answer and exclude an address that fails, so that the address of a gateway
// that may be down is better than none.
std::vector<std::string> AddressesForCallers(GatewayState& state,
                                             bool is_ready,
                                             const std::string& zone);

}  // namespace bramleyspan::gatewayd
