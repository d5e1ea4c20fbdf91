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
#include "LibHTTP/AnswerPhase.h"
#include "LibHTTP/CallerGuard.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/ServerConnections.h"

namespace bramleyspan::http {

// One request and its answer. It may outlive its connection, in which case
// calls have no effect. Calls in an order that makes up no single answer cut it
// (AnswerPhase.h).
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // `close` closes the connection.
  Exchange(h2o_req_t* request,
           size_t max_pending_bytes,
           std::shared_ptr<memory::HoldTable> holds,
           std::function<void()> close)
      : request(request),
        max_pending_bytes(max_pending_bytes),
        holds(std::move(holds)),
        close(std::move(close)) {}

  // Sends a complete answer.
  void Respond(const Response& response);

  // Sends the head of a streamed answer. If the protocol cannot signal that the
  // answer is truncated, buffers it until it ends; if it is then aborted, sends
  // status 502 instead.
  void StartStream(int status, const HeaderList& headers);

  // Sends a part of a streamed answer.
  void Write(std::string_view bytes);

  // Ends a streamed answer as complete.
  void Finish();

  // Ends a streamed answer such that the caller detects that it is truncated.
  void Abort();

  // Calls `callback` if the caller disconnects, or reads too slowly, before the
  // answer has ended.
  void OnDisconnect(std::function<void()> callback);

  // Whether the answer has ended or the connection is closed.
  bool is_closed() const { return this->request == nullptr; }

  // Returns the bytes that are buffered because the caller reads slowly.
  size_t pending_bytes() const { return this->pending.size(); }

 private:
  friend class Server;
  enum class End { kNone, kWhole, kTruncated };

  // Whether the handler's step is to be performed.
  bool MayPerform(AnswerStep step);
  void Cut();
  void SendWhole(const Response& response);
  void EndAs(End kind);
  void SetHead(int status, const HeaderList& headers);
  void StartGenerator();
  void Flush();
  void HandleProceed();
  void HandleDisposal();
  bool has_caller_disconnected() const;
  void Abandon();
  // Counts the bytes of the request, until the exchange is gone. Returns
  // whether there is room.
  bool CountRequest(size_t bytes);
  // Counts what waits for the caller. Returns whether there is room.
  bool CountAnswer();

  h2o_req_t* request;
  AnswerPhase phase = AnswerPhase::kNotBegun;
  // A streamed answer that is sent only when its end is known.
  std::optional<Response> buffered_answer;
  size_t max_pending_bytes;
  std::shared_ptr<memory::HoldTable> holds;
  std::function<void()> close;
  memory::Hold request_hold;
  memory::Hold answer_hold;
  std::string pending;
  std::string in_flight;
  std::function<void()> disconnect_callback;
  End end = End::kNone;
  bool is_sending = false;
};

// Limits on requests and on buffered answers.
struct ServerLimits {
  size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds request_timeout{10'000};
  // Bytes of an answer that may be buffered for a slow caller. Beyond this the
  // answer is truncated.
  size_t max_pending_bytes = 4 << 20;
  // Interval of the check for callers that have disconnected.
  std::chrono::milliseconds disconnect_check_interval{250};
  // What bounds all callers together.
  CallerGuard guard;
  // The answer to a request for which there is no room.
  Response refusal{.status = 503};
};

// Passes all requests at one address to one handler.
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

  // Closes each persistent connection after its next answer. Still accepts new
  // connections. A connection then stays until its last answer is delivered.
  void StartDrain();

  // Stops listening. Connections that the system has accepted are still served.
  void StopListening();

  // Closes the connections that have been idle for so long.
  void CloseIdle(Duration idle_for);

  // Answers the requests that are still coming without reading the rest.
  void RefuseReading(const Response& response);

  // Returns the bound port. The system chooses it if port 0 was requested.
  uint16_t port() const;

  // Returns the number of requests whose answer has not ended.
  size_t open_exchanges() const;

  // What its connections are busy with, besides open exchanges. To be called
  // repeatedly from StartDrain on.
  ServerWork CountWork();

 private:
  struct Internals;
  explicit Server(std::unique_ptr<Internals> internals);

  std::unique_ptr<Internals> internals;
};

}  // namespace bramleyspan::http
