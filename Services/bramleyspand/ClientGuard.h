// Bounds what the clients of a process's ports may hold, and reports those that
// are turned away.
#pragma once

#include <memory>
#include <string>

#include "Kernel/EventLoop.h"
#include "LibHTTP/CallerGuard.h"
#include "LibHTTP/Message.h"
#include "LibMemory/Connections.h"
#include "LibMemory/Hold.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// Ports whose requests are questions take no longer bodies.
inline constexpr size_t kMaxQueryBodyBytes = 4096;

// Returns the account of what the process holds for others.
std::shared_ptr<memory::HoldTable> MakeHolds(const Settings& settings,
                                             EventLoop& loop);

// Returns the connections that each port of the process may have.
memory::ConnectionShares SharesOf(const Settings& settings);

// Returns the guard of a port; `port` names it in logs and metrics.
http::CallerGuard GuardClients(const std::string& port,
                               std::shared_ptr<memory::HoldTable> holds,
                               size_t max_connections);

// Returns the answer to a request for which there is no room.
http::Response RefusalForRoom();

// Sets the gauges of what is held for others.
void UpdateHeldGauges(const memory::HoldTable& holds);

}  // namespace bramleyspan
