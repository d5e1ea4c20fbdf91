// Passes an agent's order on to a rank's server.
//
// Failure: the machine of the agent that gave the last order freezes. Where
// that is the holder's own, its server cannot be reached, nobody can let the
// held group go, and every stream stands still until the machine wakes. An
// order that comes by way of a gateway leaves no rank's machine as its giver.
#pragma once

#include <memory>

#include "LibHTTP/Ingress.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

// Answers as the server at the query's `address` does; 502 where the order may
// have arrived without an answer, 404 where no such server is known.
void RelayOrder(GatewayState& state,
                const http::IngressRequest& request,
                const std::shared_ptr<http::IngressExchange>& exchange);

}  // namespace bramleyspan::gatewayd
