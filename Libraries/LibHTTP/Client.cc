#include "LibHTTP/Client.h"

#include <limits>
#include <utility>

namespace bramleyspan::http {

namespace {

constexpr uint64_t kInputTimeoutMilliseconds = 24ULL * 3600 * 1000;
constexpr uint64_t kKeepAliveMilliseconds = 4000;
constexpr size_t kPoolCapacity = 4096;

bool is_end_of_stream(const char* failure) {
  return failure == h2o_http1client_error_is_eos;
}

std::string SerializeHead(const ClientRequest& request) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
  head.append("host: ").append(Format(request.target)).append("\r\n");
  for (const auto& [name, value] : request.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  if (request.connection_use == ConnectionUse::kFresh) {
    head += "connection: close\r\n";
  }
  return head + "\r\n";
}

}  // namespace

Client::Client(EventLoop& loop) : loop(loop) {
  h2o_timeout_init(loop.raw(), &this->input_timeout, kInputTimeoutMilliseconds);
  this->context.loop = loop.raw();
  this->context.io_timeout = &this->input_timeout;
}

Client::~Client() = default;

h2o_socketpool_t* Client::PoolFor(const Address& address) {
  auto& pool = this->pools[address];
  if (pool == nullptr) {
    pool = std::make_unique<h2o_socketpool_t>();
    sockaddr_in socket_address = ToSocketAddress(address);
    h2o_socketpool_init_by_address(pool.get(),
                                   reinterpret_cast<sockaddr*>(&socket_address),
                                   sizeof socket_address, 0, kPoolCapacity);
    h2o_socketpool_set_timeout(pool.get(), this->loop.raw(),
                               kKeepAliveMilliseconds);
  }
  return pool.get();
}

std::shared_ptr<ClientCall> Client::Stream(ClientRequest request,
                                           ClientEvents events) {
  auto call = std::make_shared<ClientCall>();
  call->loop = &this->loop;
  call->request = std::move(request);
  call->events = std::move(events);
  call->self = call;
  const bool is_fresh = call->request.connection_use == ConnectionUse::kFresh;
  call->Start(this->context,
              is_fresh ? nullptr : this->PoolFor(call->request.target));
  return call;
}

std::shared_ptr<ClientCall> Client::Fetch(
    ClientRequest request,
    std::function<void(Result<Response>)> on_done) {
  auto response = std::make_shared<Response>();
  auto started = std::make_shared<std::weak_ptr<ClientCall>>();
  auto fail_as_too_large = [on_done, target = request.target] {
    on_done(Fail(ErrorCode::kTooLarge, Format(target), "its body is too long"));
  };
  ClientEvents events;
  events.on_head = [response](ResponseHead head) {
    response->status = head.status;
    response->headers = std::move(head.headers);
  };
  events.on_bytes = [response, started,
                     fail_as_too_large](std::string_view bytes) {
    response->body.append(bytes);
    const auto call = started->lock();
    if (response->body.size() > kMaxFetchedBytes && call != nullptr) {
      // Cancelling destroys these callbacks, so it comes last.
      fail_as_too_large();
      call->Cancel();
    }
  };
  events.on_end = [response,
                   on_done = std::move(on_done)](const Result<void>& outcome) {
    if (outcome.has_error()) {
      on_done(boost::outcome_v2::failure(outcome.error()));
      return;
    }
    on_done(std::move(*response));
  };
  auto call = this->Stream(std::move(request), std::move(events));
  *started = call;
  return call;
}

void ClientCall::Start(h2o_http1client_ctx_t& context, h2o_socketpool_t* pool) {
  this->timer = this->loop->RunAfter(this->request.timeout,
                                     [this] { this->HandleTimeout(); });
  const h2o_http1client_connect_cb on_connect = [](h2o_http1client_t* client,
                                                   const char* failure,
                                                   h2o_iovec_t** buffers,
                                                   size_t* buffer_count,
                                                   int* method_is_head) {
    auto call = static_cast<ClientCall*>(client->data)->shared_from_this();
    return call->HandleConnect(failure, buffers, buffer_count, method_is_head);
  };
  if (pool != nullptr) {
    h2o_http1client_connect_with_pool(&this->client, this, &context, pool,
                                      on_connect);
    return;
  }
  const std::string& ip = this->request.target.ip;
  h2o_http1client_connect(&this->client, this, &context,
                          h2o_iovec_init(ip.data(), ip.size()),
                          this->request.target.port, 0, on_connect);
}

h2o_http1client_head_cb ClientCall::HandleConnect(const char* failure,
                                                  h2o_iovec_t** buffers,
                                                  size_t* buffer_count,
                                                  int* method_is_head) {
  if (failure != nullptr) {
    this->client = nullptr;
    this->End(Fail(ErrorCode::kConnectionFailed, Format(this->request.target),
                   failure));
    return nullptr;
  }
  this->is_sent = true;
  this->head_bytes = SerializeHead(this->request);
  this->buffers.push_back(
      h2o_iovec_init(this->head_bytes.data(), this->head_bytes.size()));
  if (!this->request.body.empty()) {
    this->buffers.push_back(
        h2o_iovec_init(this->request.body.data(), this->request.body.size()));
  }
  *buffers = this->buffers.data();
  *buffer_count = this->buffers.size();
  *method_is_head = this->request.method == "HEAD" ? 1 : 0;
  return
      [](h2o_http1client_t* client, const char* head_failure, int, int status,
         h2o_iovec_t, h2o_header_t* headers, size_t header_count, int) {
        auto call = static_cast<ClientCall*>(client->data)->shared_from_this();
        return call->HandleHead(head_failure, status, headers, header_count);
      };
}

h2o_http1client_body_cb ClientCall::HandleHead(const char* failure,
                                               int status,
                                               h2o_header_t* headers,
                                               size_t header_count) {
  if (failure != nullptr && !is_end_of_stream(failure)) {
    this->client = nullptr;
    this->End(Fail(ErrorCode::kConnectionClosed, Format(this->request.target),
                   failure));
    return nullptr;
  }
  ResponseHead head{.status = status, .headers = {}};
  for (size_t i = 0; i < header_count; ++i) {
    std::string name(headers[i].name->base, headers[i].name->len);
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(letter));
    }
    head.headers.emplace_back(
        std::move(name),
        std::string(headers[i].value.base, headers[i].value.len));
  }
  this->is_in_callback = true;
  this->events.on_head(std::move(head));
  this->is_in_callback = false;
  if (is_end_of_stream(failure)) {
    this->client = nullptr;
    this->End(Succeed());
    return nullptr;
  }
  if (this->is_ended) {
    this->client = nullptr;
    return nullptr;
  }
  return [](h2o_http1client_t* client, const char* body_failure) {
    auto call = static_cast<ClientCall*>(client->data)->shared_from_this();
    return call->HandleBody(body_failure);
  };
}

int ClientCall::HandleBody(const char* failure) {
  constexpr int kKeepReading = 0;
  constexpr int kClose = -1;
  if (failure != nullptr && !is_end_of_stream(failure)) {
    this->client = nullptr;
    this->End(
        Fail(ErrorCode::kTruncated, Format(this->request.target), failure));
    return kClose;
  }
  h2o_buffer_t** input = &this->client->sock->input;
  if ((*input)->size != 0) {
    const std::string bytes((*input)->bytes, (*input)->size);
    h2o_buffer_consume(input, (*input)->size);
    this->is_in_callback = true;
    this->events.on_bytes(bytes);
    this->is_in_callback = false;
  }
  if (is_end_of_stream(failure)) {
    this->client = nullptr;
    this->End(Succeed());
    return kKeepReading;
  }
  if (this->is_ended) {
    this->client = nullptr;
    return kClose;
  }
  return kKeepReading;
}

void ClientCall::End(Result<void> outcome) {
  if (this->is_ended) {
    this->self = nullptr;
    return;
  }
  this->is_ended = true;
  this->loop->Cancel(this->timer);
  auto keep_until_return = std::exchange(this->self, nullptr);
  auto on_end = std::exchange(this->events, {}).on_end;
  if (on_end) {
    on_end(std::move(outcome));
  }
}

void ClientCall::HandleTimeout() {
  auto keep_until_return = this->shared_from_this();
  const ErrorCode code =
      this->is_sent ? ErrorCode::kTimeout : ErrorCode::kConnectionFailed;
  if (this->client != nullptr) {
    h2o_http1client_cancel(std::exchange(this->client, nullptr));
  }
  this->End(Fail(code, Format(this->request.target), "no answer in time"));
}

void ClientCall::Cancel() {
  if (this->is_ended) {
    return;
  }
  this->is_ended = true;
  this->loop->Cancel(this->timer);
  auto keep_until_return = std::exchange(this->self, nullptr);
  this->events = {};
  // Inside h2o's callbacks, the value that they return closes the connection.
  if (!this->is_in_callback && this->client != nullptr) {
    h2o_http1client_cancel(std::exchange(this->client, nullptr));
  }
}

}  // namespace bramleyspan::http
