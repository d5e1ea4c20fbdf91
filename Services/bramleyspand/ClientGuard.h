// Bounds what the clients of a process's ports may hold, and reports those that
// are turned away.
#pragma once

#include <memory>
#include <string>

#include "LibHTTP/IngressLimits.h"
#include "LibMemory/Hold.h"

namespace bramleyspan {

// Ports whose requests are questions take no longer bodies.
inline constexpr size_t kMaxQueryBodyBytes = 4096;

// Returns the guard of a port; `port` names it in logs and metrics.
http::IngressGuard GuardClients(const std::string& port,
                                std::shared_ptr<memory::HoldTable> holds,
                                size_t max_connections);

// Sets the gauges of what is held for others.
void UpdateHeldGauges(const memory::HoldTable& holds);

}  // namespace bramleyspan
