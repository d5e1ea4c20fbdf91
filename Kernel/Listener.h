// Listening TCP sockets on the event loop.
#pragma once

#include <functional>
#include <memory>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Accepts connections until it is destroyed.
class Listener {
 public:
  using OnAccept = std::function<void(h2o_socket_t*)>;

  // Binds and listens. Fails with kConnectionFailed.
  static Result<std::unique_ptr<Listener>> Listen(EventLoop& loop,
                                                  const Address& address,
                                                  OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The port bound, which the system chose if port 0 was asked for.
  uint16_t port() const;

 private:
  Listener() = default;

  h2o_socket_t* socket = nullptr;
  OnAccept on_accept;
};

}  // namespace bramleyspan
