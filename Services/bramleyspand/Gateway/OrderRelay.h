// Forwards an agent's order to a rank's server.
//
// Failure: the VM of the agent that sent the last order freezes. If the holder
// of the group is on that VM, its server cannot be reached, no agent can
// release the held group, and every stream stalls until the VM resumes. An
// order that is sent through a gateway does not have the VM of a rank as its
// sender.
#pragma once

#include <memory>

#include "LibHTTP/Ingress.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

// Sends the request's body to the server at the query's `address` and returns
// the server's status. Answers 502 if the order may have arrived but was not
// answered, 404 if no such server is known.
void RelayOrder(GatewayState& state,
                const http::IngressRequest& request,
                const std::shared_ptr<http::IngressExchange>& exchange);

}  // namespace bramleyspan::gatewayd
