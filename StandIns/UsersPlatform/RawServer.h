// A server whose answers have neither a length nor chunks and end with their
// connection. The last part of a request's path says how an answer ends: whole,
// inside (in the middle of an event, in good order), reset, or ends (whole, and
// the server with it).
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"

namespace bramleyspan::standins {

class RawServer {
 public:
  // Fails with kConnectionFailed if the address is taken.
  static Result<std::unique_ptr<RawServer>> Listen(EventLoop& loop,
                                                   const Address& address);
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

 private:
  RawServer() = default;
  void HandleReadable(h2o_socket_t* socket, const char* failure);

  std::unique_ptr<Listener> listener;
  // Answers that are being written.
  std::map<h2o_socket_t*, std::string> answers;
};

}  // namespace bramleyspan::standins
