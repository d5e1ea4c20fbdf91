// A server whose answers have neither a length nor chunks and end with their
// connection. The last part of a request's path says how an answer ends: whole,
// inside (in the middle of an event, in good order), reset, ends (whole, and
// the server with it), or restarts (before the last event, in good order, since
// the server ends; it is back later) or reborn (as restarts, but its next
// process listens at once). After status-NUMBER an answer with that status has
// the text of an answer 200 as its body. After cut-PLACE an answer with a
// length or chunks breaks off there, see CutAnswers.h. After early-NAME two of
// three events come once the request's head has come, whatever its length, and
// the name says what follows, see EarlyAnswers.h. After endless-KIND bytes
// that are no answer come until the caller closes: head (header lines), line
// (one header line), interim (interim heads), body (without a length), chunks,
// extension (of one chunk), trailer (one line), event (one event of a stream),
// bare (a body without a stamp). GET /report is answered 404.
#pragma once

#include <map>
#include <memory>
#include <set>
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
  RawServer(EventLoop& loop, const Address& address)
      : loop(loop), address(address) {}
  Result<void> StartListening();
  void HandleReadable(h2o_socket_t* socket, const char* failure);
  // Writes the answer, then closes the connection.
  void Write(h2o_socket_t* socket, std::string bytes_of_answer);
  // Answers a request whose head has come, if its path asks for that.
  bool is_answered_early(h2o_socket_t* socket, const std::string& request);
  void CloseIdle();
  void EndAndBeginAnew(h2o_socket_t* socket, std::string half);
  void SendWithoutEnd(h2o_socket_t* socket);

  EventLoop& loop;
  Address address;
  std::unique_ptr<Listener> listener;
  // Connections on which no request has come.
  std::set<h2o_socket_t*> idle;
  // Blocks that are written until the caller closes.
  std::map<h2o_socket_t*, std::string> endless;
  // Answers that are being written.
  std::map<h2o_socket_t*, std::string> answers;
};

}  // namespace bramleyspan::standins
