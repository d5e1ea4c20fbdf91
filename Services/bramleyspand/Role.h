// What a process is: each role registers itself with the kernel.
#pragma once

#include <memory>

#include "Kernel/EventLoop.h"
#include "Kernel/Plugin.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// A started role; destroying it ends its work.
class Role {
 public:
  virtual ~Role() = default;

  // Starts a planned stop: nothing new is taken, what is in flight ends, then
  // the loop is stopped.
  virtual void StartDrain() = 0;

  // Takes settings that have changed. Addresses and names hold until the next
  // start.
  virtual void HandleSettings(const Settings& /*settings*/) {}
};

// Starts a role on the loop. Fails if an address cannot be bound.
using StartRole = Result<std::unique_ptr<Role>> (*)(EventLoop& loop,
                                                    const Settings& settings);

// Makes and starts a role of a class; what its registration needs.
template <typename ConcreteRole>
Result<std::unique_ptr<Role>> StartRoleOf(EventLoop& loop,
                                          const Settings& settings) {
  auto role = std::make_unique<ConcreteRole>(loop, settings);
  TRY(role->Start());
  return std::unique_ptr<Role>(std::move(role));
}

}  // namespace bramleyspan
