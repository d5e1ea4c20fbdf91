// An HTTP/1 server for a proxy, based on h2o's sockets and parser. Unlike h2o's
// own server it keeps reading while an answer is pending, so it detects at once
// that a caller has disconnected. Its limits can change while it runs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"
#include "Kernel/Result.h"
#include "LibHTTP/AnswerPhase.h"
#include "LibHTTP/CallerGuard.h"
#include "LibHTTP/IngressLimits.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::http {

// One request as received, with its complete body.
struct IngressRequest {
  std::string method;
  // Path and query as the caller sent them.
  std::string target;
  std::string path;
  std::string query;
  std::string host;
  HeaderList headers;
  std::string body;
  // Counts the request's bytes for as long as any copy of it lives.
  std::shared_ptr<memory::Hold> hold;
};

class IngressConnection;

// Sends the answer to one request. It may outlive its connection, in which case
// calls have no effect. Calls in an order that makes up no single answer cut it
// (AnswerPhase.h).
class IngressExchange : public std::enable_shared_from_this<IngressExchange> {
 public:
  // Sends a complete answer. `hold` counts the bytes of the body, if they are
  // counted yet.
  void Respond(int status,
               const HeaderList& headers,
               std::string body,
               memory::Hold hold = {});

  // Sends the head of a streamed answer: in chunks for HTTP/1.1, delimited by
  // the end of the connection for HTTP/1.0.
  void StartStream(int status, const HeaderList& headers);
  void Write(std::string_view bytes);
  void Finish();

  // Closes the connection such that the caller detects an incomplete answer.
  void Abort();

  // Calls `callback` if the connection closes before the answer has ended.
  void OnDisconnect(std::function<void()> callback) {
    this->disconnect_callback = std::move(callback);
  }

  bool is_closed() const { return this->connection == nullptr; }

 private:
  friend class IngressConnection;

  // Whether the handler's step is to be performed.
  bool MayPerform(AnswerStep step);
  // Detaches the exchange from its connection, since its answer has ended.
  std::shared_ptr<IngressConnection> Detach();

  IngressConnection* connection = nullptr;
  std::function<void()> disconnect_callback;
  AnswerPhase phase = AnswerPhase::kNotBegun;
  bool is_chunked = true;
};

// What a connection is busy with.
enum class ConnectionWork {
  // Nothing; a further request may come.
  kIdle,
  // A request whose head or body is still coming.
  kReading,
  // An answer that its handler has not ended.
  kAnswering,
  // An answer that has ended, of which its caller's machine has not taken all.
  kDelivering,
  // Nothing; its last answer is delivered, and its caller has yet to close it.
  kClosing,
};

// How many connections of an Ingress are busy with what.
struct IngressWork {
  size_t idle = 0;
  size_t reading = 0;
  size_t answering = 0;
  size_t delivering = 0;
  size_t closing = 0;
};

using IngressHandler =
    std::function<void(IngressRequest,
                       const std::shared_ptr<IngressExchange>&)>;

// Accepts connections and requests at one address.
class Ingress {
 public:
  // Listens at `address` and passes each request to `handler`. Fails with
  // kConnectionFailed.
  static Result<std::unique_ptr<Ingress>> Listen(EventLoop& loop,
                                                 const Address& address,
                                                 const IngressLimits& limits,
                                                 IngressHandler handler,
                                                 CallerGuard guard = {});
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  // Replaces the limits, also for open connections.
  void SetLimits(const IngressLimits& new_limits) { this->limits = new_limits; }

  // Closes each connection after its next answer, whose head says so. New
  // connections are still accepted, since callers do not know of the stop yet.
  void StartDrain() { this->is_draining = true; }

  // Stops listening. Connections that the system has accepted are still served.
  void StopListening();

  // Closes the connections that have been idle for so long. A caller whose last
  // answer has just ended may be sending its next request.
  void CloseIdle(Duration idle_for);

  // Answers the requests that are still coming without reading the rest.
  void RefuseReading(int status, const HeaderList& headers);

  // Returns the bound port. The system chooses it if port 0 was requested.
  uint16_t port() const { return this->listener->port(); }

  size_t open_connections() const { return this->connections.size(); }

  IngressWork CountWork() const;

 private:
  friend class IngressConnection;
  friend class IngressExchange;
  explicit Ingress(EventLoop& loop) : loop(loop) {}
  void Accept(h2o_socket_t* accepted);
  // Closes connections that are used for little, if the port has all that it
  // may have.
  void CloseForOthers();
  void CheckTimeouts();

  EventLoop& loop;
  IngressLimits limits;
  IngressHandler handler;
  CallerGuard guard;
  std::unique_ptr<Listener> listener;
  // By number: an order by address would differ between two runs.
  std::map<uint64_t, std::shared_ptr<IngressConnection>> connections;
  uint64_t last_connection = 0;
  TimerId timer = 0;
  bool is_draining = false;
};

}  // namespace bramleyspan::http
