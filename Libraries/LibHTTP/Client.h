// An HTTP/1 client with persistent connections. Its answers are checked as
// those of DirectCall.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Result.h"
#include "LibHTTP/DirectCall.h"
#include "LibHTTP/Message.h"

namespace bramleyspan::http {

// Whether a request may use a persistent connection from the pool. A server may
// close such a connection just as the request is sent, and then it is unknown
// whether the request ran. Requests that must not be repeated use kFresh.
enum class ConnectionUse { kShared, kFresh };

// A request with its target. `timeout` covers connecting, sending and the
// complete response.
struct ClientRequest {
  Address target;
  std::string method = "GET";
  std::string path = "/";
  HeaderList headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
  ConnectionUse connection_use = ConnectionUse::kShared;
};

// The status line and headers of a response.
struct ResponseHead {
  int status = 0;
  HeaderList headers;
};

// Callbacks of a streamed response, called in this order. `on_end` is called
// exactly once unless the call is cancelled. It fails with kConnectionFailed if
// no byte was sent, kTimeout or kConnectionClosed if the request may have run,
// and kTruncated if the body is incomplete.
struct ClientEvents {
  std::function<void(ResponseHead)> on_head;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(Result<void>)> on_end;
};

// A request in progress.
using ClientCall = DirectCall;

// Sends requests on one event loop.
class Client {
 public:
  explicit Client(EventLoop& loop) : loop(loop) {}
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a request and passes its response to `events` in parts.
  std::shared_ptr<ClientCall> Stream(ClientRequest request,
                                     ClientEvents events);

  // Starts a request and passes the complete response to `on_done`. A body of
  // over kMaxFetchedBytes fails with kTooLarge.
  std::shared_ptr<ClientCall> Fetch(
      ClientRequest request,
      std::function<void(Result<Response>)> on_done);

 private:
  DirectRequest ToDirectRequest(ClientRequest request);
  std::shared_ptr<ClientCall> Start(DirectRequest request, ClientEvents events);

  // Servers close connections that are idle for longer, and a request that
  // crosses such a close may have run.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(4);

  EventLoop& loop;
  ConnectionPool connections{kMaxIdleTime};
};

}  // namespace bramleyspan::http
