// An HTTP/1 server for a proxy, on h2o's sockets and parser. Other than
// h2o's own server it goes on reading while an answer is pending, so that a
// caller who leaves is seen at once, and its limits change while it runs.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"
#include "Kernel/Result.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::http {

// Bounds of what callers may send and how long they may take.
struct IngressLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4 << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Bytes of an answer that may wait for a caller that reads slowly.
  size_t max_pending_bytes = 1 << 20;
};

// One request as it came, with its whole body.
struct IngressRequest {
  std::string method;
  // Path and query as the caller wrote them.
  std::string target;
  std::string path;
  std::string query;
  std::string host;
  HeaderList headers;
  std::string body;
};

class IngressConnection;

// A request's way back. It outlives its connection, so that a late answer
// meets a closed exchange.
class IngressExchange : public std::enable_shared_from_this<IngressExchange> {
 public:
  // Sends a whole answer.
  void Respond(int status, const HeaderList& headers, std::string_view body);

  // Starts an answer in chunks.
  void StartStream(int status, const HeaderList& headers);
  void Write(std::string_view bytes);
  void Finish();

  // Closes the connection so that the answer does not look whole.
  void Abort();

  // Calls `callback` if the caller leaves before the answer has ended.
  void OnDisconnect(std::function<void()> callback) {
    this->disconnect_callback = std::move(callback);
  }

  bool is_closed() const { return this->connection == nullptr; }

 private:
  friend class IngressConnection;

  IngressConnection* connection = nullptr;
  std::function<void()> disconnect_callback;
  bool is_streaming = false;
  bool is_chunked = true;
};

using IngressHandler =
    std::function<void(IngressRequest,
                       const std::shared_ptr<IngressExchange>&)>;

// Serves one address.
class Ingress {
 public:
  // Listens at `address`. Fails with kConnectionFailed.
  static Result<std::unique_ptr<Ingress>> Listen(EventLoop& loop,
                                                 const Address& address,
                                                 const IngressLimits& limits,
                                                 IngressHandler handler);
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  // Holds for open connections too.
  void SetLimits(const IngressLimits& new_limits) { this->limits = new_limits; }

  // Every answer from now on ends its connection; new ones are still taken,
  // since callers that have not heard of the stop keep coming.
  void StartDrain() { this->is_draining = true; }

  // Ends the idle connections and takes no new ones.
  void CloseIdle();

  // The port bound, which the system chose if port 0 was asked for.
  uint16_t port() const { return this->listener->port(); }

  size_t open_connections() const { return this->connections.size(); }

 private:
  friend class IngressConnection;
  friend class IngressExchange;
  explicit Ingress(EventLoop& loop) : loop(loop) {}
  void CheckTimeouts();

  EventLoop& loop;
  IngressLimits limits;
  IngressHandler handler;
  std::unique_ptr<Listener> listener;
  std::set<std::shared_ptr<IngressConnection>> connections;
  TimerId timer = 0;
  bool is_draining = false;
};

}  // namespace bramleyspan::http
