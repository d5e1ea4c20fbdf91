// A UDP socket on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Sends and receives datagrams on one bound UDP socket.
class Datagrams {
 public:
  using OnDatagram =
      std::function<void(const std::string& from_ip, std::string_view bytes)>;

  // Binds a socket to `address` and calls `on_datagram` for each datagram
  // received. Fails with kConnectionFailed.
  static Result<std::unique_ptr<Datagrams>> Bind(EventLoop& loop,
                                                 const Address& address,
                                                 OnDatagram on_datagram);
  ~Datagrams();
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;

  // Sends one datagram without waiting. Drops it if the socket cannot accept it
  // immediately.
  void Send(const Address& to, std::string_view bytes);

 private:
  Datagrams() = default;
  void Receive();

  h2o_socket_t* socket = nullptr;
  OnDatagram on_datagram;
};

}  // namespace bramleyspan
