// An HTTP/1 request whose answer is checked strictly. Without a connection pool
// it uses a fresh connection, which holds no bytes of an earlier answer. If
// that was never established, the request certainly did not run.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::http {

// Idle connections that stayed open after a complete answer. Only for requests
// that may be repeated, to servers that send exactly one answer per request.
class ConnectionPool {
 public:
  // Connections that are idle for longer than `max_idle_time` are not used.
  explicit ConnectionPool(Duration max_idle_time = Duration::max())
      : max_idle_time(max_idle_time) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Removes and returns an idle connection to `target`, or null if there is
  // none.
  h2o_socket_t* Take(const Address& target);

  // Adds a connection on which no request or answer is in progress.
  void Add(const Address& target, h2o_socket_t* socket);

 private:
  struct IdleConnection {
    ConnectionPool* owner;
    Address target;
    h2o_socket_t* socket;
    TimePoint since;
  };
  void Drop(IdleConnection* idle);
  void DropOld();

  Duration max_idle_time;
  std::multimap<Address, std::unique_ptr<IdleConnection>> idle;
};

struct DirectRequest {
  Address target;
  std::string method = "GET";
  std::string path = "/";
  // Sent unchanged. Content-Length and, without a connection pool,
  // "connection: close" are added.
  HeaderList headers;
  std::string body;
  // Sent in place of `body` if set. Requests that are sent more than once share
  // it.
  std::shared_ptr<const std::string> shared_body;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // From the start of the call to the end of the answer.
  Duration timeout = std::chrono::seconds(5);
  // Bytes of the body after which the call ends with kTooLong. Callers that
  // pass an answer on as it comes set no bound here.
  size_t max_body_bytes = std::numeric_limits<size_t>::max();
  // Pool that the connection is taken from and returned to. Null opens a fresh
  // connection, which closes after the answer.
  ConnectionPool* connection_pool = nullptr;
  // Whether the connection is opened at once, but the request sent by Send
  // only.
  bool is_sent_later = false;
};

// How a call ended.
enum class CallEnd {
  // The complete answer was received.
  kWhole,
  // No connection was established, so the request was not sent.
  kNotSent,
  // The connection closed before any byte of an answer. The request may have
  // run.
  kClosed,
  // The answer cannot be parsed, or its head is incomplete or too long.
  kMalformed,
  // The connection closed before the end of the body.
  kTruncated,
  // `timeout` expired after the connection was established.
  kTimeout,
  // The answer is longer than its reader takes.
  kTooLong,
};

// Returns the stable name of an end, such as "not_sent".
std::string_view NameOf(CallEnd end);

struct DirectEvents {
  std::function<void()> on_connected;
  std::function<void(const AnswerHead&, const MessageFraming&)> on_head;
  std::function<void(std::string_view)> on_bytes;
  // Called exactly once unless the call is cancelled.
  std::function<void(CallEnd)> on_end;
};

class DirectCall : public std::enable_shared_from_this<DirectCall> {
 public:
  static std::shared_ptr<DirectCall> Start(EventLoop& loop,
                                           DirectRequest request,
                                           DirectEvents events);

  // Starts a call and passes the complete answer to `on_done`. A body has
  // kMaxFetchedBytes at most.
  static std::shared_ptr<DirectCall> Fetch(
      EventLoop& loop,
      DirectRequest request,
      std::function<void(CallEnd, Response)> on_done);

  // Sends the request of a call with `is_sent_later`, as soon as it is
  // connected.
  void Send();

  // Closes the connection. No callback is called afterwards.
  void Cancel();

  // Reads nothing of the answer until Resume, so that its server can't send on.
  // Resume is not to be called from a callback of this call.
  void Pause();
  void Resume();

 private:
  explicit DirectCall(EventLoop& loop) : loop(loop) {}

  void Connect();
  void HandleConnected(const char* failure);
  void WriteRequest();
  void HandleWritten(const char* failure);
  void StartReading();
  void HandleReadable(const char* failure);
  void ReadHead();
  void ReadBody();
  void HandleClosed(const char* failure);
  void EndUnframedAnswer();
  void End(CallEnd end);
  void Release();
  const std::string& body() const;
  std::string SerializeHead() const;

  EventLoop& loop;
  DirectRequest request;
  DirectEvents events;
  h2o_socket_t* socket = nullptr;
  std::string outgoing_head;
  std::string input;
  size_t body_bytes = 0;
  // Interim heads that came before the final one.
  size_t interim_heads = 0;
  bool is_connected = false;
  bool has_head = false;
  bool is_reusable = false;
  bool is_ended = false;
  bool is_paused = false;
  bool has_write_failed = false;
  // Whether the server closed the connection in order, as far as reading tells.
  bool is_read_in_order = false;
  BodyReader reader;
  TimerId timer = 0;
  TimerId connect_timer = 0;
  // Runs until the end of an answer without a length can be judged.
  TimerId end_timer = 0;
  std::shared_ptr<DirectCall> self;
};

}  // namespace bramleyspan::http
