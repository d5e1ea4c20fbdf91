// One request on a connection of its own, whose answer is checked as it
// comes. A fresh connection carries no bytes of an earlier answer, and nothing
// is in doubt as long as it was never established.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::http {

// Connections that were left open after a whole answer. Only for requests that
// may be repeated, to a server that is trusted to answer one for one.
class ConnectionPool {
 public:
  ConnectionPool() = default;
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // An open connection; null if there is none.
  h2o_socket_t* Take(const Address& target);

  // Keeps a connection that carries nothing.
  void Add(const Address& target, h2o_socket_t* socket);

 private:
  struct IdleConnection {
    ConnectionPool* owner;
    Address target;
    h2o_socket_t* socket;
  };
  void Drop(IdleConnection* idle);

  std::multimap<Address, std::unique_ptr<IdleConnection>> idle;
};

struct DirectRequest {
  Address target;
  std::string method = "GET";
  std::string path = "/";
  // Sent as they are; the body's length and the end of the connection are
  // added.
  HeaderList headers;
  std::string body;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // From the start to the answer's end.
  Duration timeout = std::chrono::seconds(5);
  // Where a kept connection may be found and left; null for a fresh one.
  ConnectionPool* connection_pool = nullptr;
};

// How a call ended.
enum class CallEnd {
  // The whole answer came and nothing after it.
  kWhole,
  // No connection was established: the request did not travel.
  kNotSent,
  // The connection ended before an answer's head: it may have run.
  kClosed,
  // The answer cannot be parsed, or bytes follow it.
  kMalformed,
  // The body broke off.
  kTruncated,
  // Time ran out after the request was sent.
  kTimeout,
};

// The stable name of an end, such as "not_sent".
std::string_view NameOf(CallEnd end);

struct DirectEvents {
  std::function<void()> on_connected;
  std::function<void(const AnswerHead&, BodyFraming)> on_head;
  std::function<void(std::string_view)> on_bytes;
  // Comes exactly once unless the call is cancelled.
  std::function<void(CallEnd)> on_end;
};

class DirectCall : public std::enable_shared_from_this<DirectCall> {
 public:
  static std::shared_ptr<DirectCall> Start(EventLoop& loop,
                                           DirectRequest request,
                                           DirectEvents events);

  // Starts a call that hands over the whole answer.
  static std::shared_ptr<DirectCall> Fetch(
      EventLoop& loop,
      DirectRequest request,
      std::function<void(CallEnd, Response)> on_done);

  // Closes the connection; no event follows.
  void Cancel();

 private:
  explicit DirectCall(EventLoop& loop) : loop(loop) {}

  void Connect();
  void HandleConnected(const char* failure);
  void HandleReadable(const char* failure);
  void ReadHead();
  void ReadBody();
  void HandleClosed(const char* failure);
  void End(CallEnd end);
  void Release();
  std::string Serialize() const;

  EventLoop& loop;
  DirectRequest request;
  DirectEvents events;
  h2o_socket_t* socket = nullptr;
  std::string outgoing;
  std::string input;
  bool is_connected = false;
  bool has_head = false;
  bool is_reusable = false;
  bool is_ended = false;
  BodyReader reader;
  TimerId timer = 0;
  TimerId connect_timer = 0;
  std::shared_ptr<DirectCall> self;
};

}  // namespace bramleyspan::http
