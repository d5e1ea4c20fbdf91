// Datagrams between the system's own processes, counted by kind. A datagram
// that cannot be decoded is counted, logged at a limited rate and otherwise
// ignored.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Datagrams.h"
#include "LibMembership/Members.h"

namespace bramleyspan {

class PeerDatagrams {
 public:
  using OnMessage =
      std::function<void(const std::string& from_ip,
                         const membership::wire::MessageT& message)>;

  // Binds the socket. Fails with kConnectionFailed.
  static Result<std::unique_ptr<PeerDatagrams>> Bind(EventLoop& loop,
                                                     const Address& address,
                                                     OnMessage on_message);

  // Sends a datagram to an IP number, to the port that is also bound here.
  void Send(const std::string& ip, std::string_view bytes);

 private:
  explicit PeerDatagrams(uint16_t port) : port(port) {}
  void Receive(const std::string& from_ip, std::string_view bytes);

  uint16_t port;
  std::unique_ptr<Datagrams> datagrams;
  OnMessage on_message;
  TimePoint logged_unreadable;
};

}  // namespace bramleyspan
