// An HTTP/1 client over h2o with persistent connections.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "Kernel/Result.h"
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
class ClientCall;

// Sends requests on one event loop.
class Client {
 public:
  explicit Client(EventLoop& loop);
  ~Client();
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
  h2o_socketpool_t* PoolFor(const Address& address);

  EventLoop& loop;
  h2o_http1client_ctx_t context{};
  h2o_timeout_t input_timeout{};
  std::map<Address, std::unique_ptr<h2o_socketpool_t>> pools;
};

class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  // Closes the connection. No callback is called afterwards.
  void Cancel();

 private:
  friend class Client;

  void Start(h2o_http1client_ctx_t& context, h2o_socketpool_t* pool);
  h2o_http1client_head_cb HandleConnect(const char* failure,
                                        h2o_iovec_t** buffers,
                                        size_t* buffer_count,
                                        int* method_is_head);
  h2o_http1client_body_cb HandleHead(const char* failure,
                                     int status,
                                     h2o_header_t* headers,
                                     size_t header_count);
  int HandleBody(const char* failure);
  void End(Result<void> outcome);
  void HandleTimeout();

  EventLoop* loop = nullptr;
  h2o_http1client_t* client = nullptr;
  ClientRequest request;
  ClientEvents events;
  std::string head_bytes;
  std::vector<h2o_iovec_t> buffers;
  std::shared_ptr<ClientCall> self;
  TimerId timer = 0;
  bool is_in_callback = false;
  bool is_sent = false;
  bool is_ended = false;
};

}  // namespace bramleyspan::http
