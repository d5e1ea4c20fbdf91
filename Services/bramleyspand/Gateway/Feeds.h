// How a gateway follows the desired state and the targets.
#pragma once

#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

// What changes with a newer desired state.
using OnTable = std::function<void(const gateway::RouteTable&)>;

// Begins to follow both. `on_table` comes for each newer desired state,
// `on_target` for each target that came, changed or went.
void StartFeeds(GatewayState& state,
                OnTable on_table,
                std::function<void()> on_target);

// A few gateways watch closely, the others hear from them should their own
// watch be silent. Called with every heartbeat.
void AdjustWatches(GatewayState& state, TimePoint now);

}  // namespace bramleyspan::gatewayd
