// The roles of a process. Each role registers itself as a plugin.
#pragma once

#include <memory>

#include "Kernel/EventLoop.h"
#include "Kernel/Plugin.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// A started role.
class Role {
 public:
  virtual ~Role() = default;

  // Ends the role's work after the event loop was stopped: closes its addresses
  // and the connections there. What timers own may still use the role.
  virtual void Close() = 0;

  // Starts a planned stop: no new work is accepted, work in flight ends, then
  // the event loop is stopped.
  virtual void StartDrain() = 0;

  // Applies changed settings. Addresses and names keep their values until the
  // next start.
  virtual void HandleSettings(const Settings& /*settings*/) {}
};

// Starts a role on the event loop. Fails if an address cannot be bound.
using StartRole = Result<std::unique_ptr<Role>> (*)(EventLoop& loop,
                                                    const Settings& settings);

// Creates and starts a role of a class; the function that a role registers.
template <typename ConcreteRole>
Result<std::unique_ptr<Role>> StartRoleOf(EventLoop& loop,
                                          const Settings& settings) {
  auto role = std::make_unique<ConcreteRole>(loop, settings);
  TRY(role->Start());
  return std::unique_ptr<Role>(std::move(role));
}

}  // namespace bramleyspan
