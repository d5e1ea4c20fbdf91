// Records when this process stood: its VM was frozen or suspended, or one turn
// of its event loop took long.
//
// Failure: a VM freezes for seconds; its server works on for callers that have
// left, since it cannot see that their connections were closed. No process that
// runs can tell this from a slow network; the one that stood knows afterwards.
#pragma once

#include <string>

#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Watches for as long as the loop runs. `server` is the address of the server
// that is on the same VM; empty if there is none.
void WatchStandstills(EventLoop& loop, const std::string& server);

}  // namespace bramleyspan
