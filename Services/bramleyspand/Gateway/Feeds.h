// Watches the desired state, the evacuated zones and the targets in the store.
#pragma once

#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

// Called for each newer desired state.
using OnTable = std::function<void(const gateway::RouteTable&)>;

// Starts both feeds. `on_change` is called for each target that is added,
// changed or removed, and each zone that is evacuated or restored.
void StartFeeds(GatewayState& state,
                OnTable on_table,
                std::function<void()> on_change);

// Sets how long the watches wait. A few gateways, the active watchers, watch
// the store with short waits; the passive ones receive changes from them if
// their own watch stops answering. Called with every heartbeat.
void AdjustWatches(GatewayState& state, TimePoint now);

}  // namespace bramleyspan::gatewayd
