// What operators see of a gateway: its gauges and the dump of its state.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

void UpdateGauges(const GatewayState& state);

nlohmann::json Dump(const GatewayState& state);

}  // namespace bramleyspan::gatewayd
