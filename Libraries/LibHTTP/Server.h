// An HTTP/1 and cleartext HTTP/2 server over h2o.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"
#include "Kernel/Result.h"
#include "LibHTTP/Message.h"

namespace bramleyspan::http {

// One request with the way to answer it. It outlives its connection, so that
// a late answer meets a closed exchange instead of freed memory.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(h2o_req_t* request, size_t max_pending_bytes)
      : request(request), max_pending_bytes(max_pending_bytes) {}

  // Sends the whole answer.
  void Respond(const Response& response);

  // Sends the head of a streamed answer. Where the protocol cannot show that
  // such an answer broke off, it is held back until its end is known; one that
  // breaks off becomes a 502 then.
  void StartStream(int status, const HeaderList& headers);

  // Sends a part of a streamed answer.
  void Write(std::string_view bytes);

  // Ends a streamed answer as whole.
  void Finish();

  // Ends a streamed answer so that the caller sees it as truncated.
  void Abort();

  // Calls `callback` if the caller leaves before the answer has ended.
  void OnDisconnect(std::function<void()> callback);

  // Whether nothing more can reach the caller.
  bool is_closed() const { return this->request == nullptr; }

  // Bytes that wait because the caller reads slowly.
  size_t pending_bytes() const { return this->pending.size(); }

 private:
  friend class Server;
  enum class End { kNone, kWhole, kTruncated };

  void EndAs(End kind);
  void EndBuffered(End kind);
  void SetHead(int status, const HeaderList& headers);
  void StartGenerator();
  void Flush();
  void HandleProceed();
  void HandleDisposal();
  bool has_caller_disconnected() const;
  void Abandon();

  h2o_req_t* request;
  // A streamed answer that is held back until its end is known.
  std::optional<Response> buffered_answer;
  size_t max_pending_bytes;
  std::string pending;
  std::string in_flight;
  std::function<void()> disconnect_callback;
  End end = End::kNone;
  bool is_sending = false;
};

// Bounds of what a server takes from callers.
struct ServerLimits {
  size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds request_timeout{10'000};
  // Bytes of an answer that may wait for a caller that reads slowly.
  size_t max_pending_bytes = 4 << 20;
  // How often connections are checked for callers that have left.
  std::chrono::milliseconds disconnect_check_interval{250};
};

// Serves every path of one address through one handler.
class Server {
 public:
  using Handler =
      std::function<void(Request, const std::shared_ptr<Exchange>&)>;

  // Listens at `address`. Fails with kConnectionFailed.
  static Result<std::unique_ptr<Server>> Listen(EventLoop& loop,
                                                const Address& address,
                                                const ServerLimits& limits,
                                                Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Closes each kept connection after its next answer; still takes new ones.
  void ClosePersistentConnections();

  // Takes no new connection and closes each kept one after its answer.
  void Drain();

  // The port bound, which the system chose if port 0 was asked for.
  uint16_t port() const;

  // Requests whose answer has not ended.
  size_t open_exchanges() const;

 private:
  struct Internals;
  explicit Server(std::unique_ptr<Internals> internals);

  std::unique_ptr<Internals> internals;
};

}  // namespace bramleyspan::http
