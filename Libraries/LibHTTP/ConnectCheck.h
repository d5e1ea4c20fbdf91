// Finds out whether a server accepts connections, without sending a request.
#pragma once

#include <functional>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"

namespace bramleyspan::http {

enum class ConnectOutcome {
  kAccepted,
  // The connection failed at once: nothing listens there.
  kRefused,
  // Nothing was heard in time, as in a network partition.
  kUnanswered,
};

// Opens a connection and closes it again. `on_done` is called once, later.
void CheckConnect(EventLoop& loop,
                  const Address& target,
                  Duration timeout,
                  std::function<void(ConnectOutcome)> on_done);

}  // namespace bramleyspan::http
