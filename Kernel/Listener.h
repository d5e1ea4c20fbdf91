// A listening TCP socket on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Accepts connections until destroyed.
class Listener {
 public:
  using OnAccept = std::function<void(h2o_socket_t*)>;

  // Listens at `address` and calls `on_accept` for each connection, with
  // TCP_NODELAY set. `receive_bytes` bounds what the system holds of a
  // connection that is not read; without it the system decides. Fails with
  // kConnectionFailed.
  static Result<std::unique_ptr<Listener>> Listen(
      EventLoop& loop,
      const Address& address,
      OnAccept on_accept,
      std::optional<int> receive_bytes = std::nullopt);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Accepts the connections that the system has taken for this address; closing
  // it would reset them.
  void AcceptPending();

  // Returns the bound port. The system chooses it if port 0 was requested.
  uint16_t port() const;

 private:
  explicit Listener(EventLoop& loop) : loop(loop) {}
  void StartReading();
  // Returns whether there was a connection to accept.
  bool AcceptOne();
  // Accepts nothing for a short time.
  void Pause();

  EventLoop& loop;
  h2o_socket_t* socket = nullptr;
  TimerId pause_timer = 0;
  OnAccept on_accept;
};

}  // namespace bramleyspan
