// A server whose answers are given byte by byte. Each connection gets one, once
// its request has come as a whole, and is closed behind it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"
#include "StandIns/OddHeads.h"

namespace bramleyspan::standins {

class AnswerServer {
 public:
  // Returns the answer to a request for `target`.
  using Choose = std::function<RawAnswer(const std::string& target)>;

  // Fails with kConnectionFailed if the address is taken.
  static Result<std::unique_ptr<AnswerServer>> Listen(EventLoop& loop,
                                                      const Address& address,
                                                      Choose choose);
  AnswerServer(const AnswerServer&) = delete;
  AnswerServer& operator=(const AnswerServer&) = delete;

  Address address() const;

 private:
  AnswerServer(EventLoop& loop, Address address, Choose choose)
      : loop(loop), ip(std::move(address.ip)), choose(std::move(choose)) {}
  void HandleReadable(h2o_socket_t* socket, const char* failure);
  void HandleWritten(h2o_socket_t* socket, const char* failure);
  // Writes what is left of the answer up to its border, or to its end.
  void Write(h2o_socket_t* socket);

  EventLoop& loop;
  std::string ip;
  Choose choose;
  std::unique_ptr<Listener> listener;
  // What is left of the answers that are being written.
  std::map<h2o_socket_t*, RawAnswer> answers;
};

}  // namespace bramleyspan::standins
