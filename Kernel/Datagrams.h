// A UDP socket on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Sends and receives datagrams until it is destroyed.
class Datagrams {
 public:
  using OnDatagram =
      std::function<void(const std::string& from_ip, std::string_view bytes)>;

  // Fails with kConnectionFailed.
  static Result<std::unique_ptr<Datagrams>> Bind(EventLoop& loop,
                                                 const Address& address,
                                                 OnDatagram on_datagram);
  ~Datagrams();
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;

  // Sends one datagram; one that does not go out at once is lost.
  void Send(const Address& to, std::string_view bytes);

 private:
  Datagrams() = default;
  void Receive();

  h2o_socket_t* socket = nullptr;
  OnDatagram on_datagram;
};

}  // namespace bramleyspan
