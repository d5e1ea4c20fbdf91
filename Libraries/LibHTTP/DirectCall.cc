#include "LibHTTP/DirectCall.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Kernel/SocketBytes.h"
#include "LibHTTP/UnframedEnd.h"

namespace bramleyspan::http {

namespace {

constexpr size_t kMaxAnswerHeadBytes = 65536;
constexpr size_t kMaxInterimHeads = 16;
constexpr int kPausedReceiveBytes = 32768;
// How often an end that can't be judged yet is judged again; within a region
// a server's machine acknowledges bytes in 1 to 2 ms.
constexpr Duration kEndCheckInterval = std::chrono::milliseconds(2);

}  // namespace

ConnectionPool::~ConnectionPool() {
  for (auto& [target, idle_connection] : this->idle) {
    h2o_socket_close(idle_connection->socket);
  }
}

h2o_socket_t* ConnectionPool::Take(const Address& target) {
  this->DropOld();
  const auto found = this->idle.find(target);
  if (found == this->idle.end()) {
    return nullptr;
  }
  h2o_socket_t* socket = found->second->socket;
  h2o_socket_read_stop(socket);
  this->idle.erase(found);
  return socket;
}

void ConnectionPool::Add(const Address& target, h2o_socket_t* socket) {
  auto idle_connection = std::make_unique<IdleConnection>(
      IdleConnection{this, target, socket, EventLoop::Now()});
  socket->data = idle_connection.get();
  this->idle.emplace(target, std::move(idle_connection));
  // An idle connection becomes readable only if the server closes it or sends
  // bytes that answer no request. Both make it unusable.
  h2o_socket_read_start(socket, [](h2o_socket_t* source, const char*) {
    auto* idle = static_cast<IdleConnection*>(source->data);
    idle->owner->Drop(idle);
  });
}

void ConnectionPool::Drop(IdleConnection* idle) {
  h2o_socket_close(idle->socket);
  std::erase_if(this->idle,
                [idle](const auto& item) { return item.second.get() == idle; });
}

void ConnectionPool::DropOld() {
  const TimePoint now = EventLoop::Now();
  std::erase_if(this->idle, [this, now](const auto& item) {
    const bool is_old = now - item.second->since > this->max_idle_time;
    if (is_old) {
      h2o_socket_close(item.second->socket);
    }
    return is_old;
  });
}

std::string_view NameOf(CallEnd end) {
  switch (end) {
    case CallEnd::kWhole:
      return "whole";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kClosed:
      return "closed";
    case CallEnd::kMalformed:
      return "malformed";
    case CallEnd::kTruncated:
      return "truncated";
    case CallEnd::kTimeout:
      return "timeout";
    case CallEnd::kTooLong:
      return "too_long";
  }
  return "closed";
}

std::shared_ptr<DirectCall> DirectCall::Start(EventLoop& loop,
                                              DirectRequest request,
                                              DirectEvents events) {
  std::shared_ptr<DirectCall> call(new DirectCall(loop));
  call->request = std::move(request);
  call->events = std::move(events);
  call->self = call;
  call->Connect();
  return call;
}

std::shared_ptr<DirectCall> DirectCall::Fetch(
    EventLoop& loop,
    DirectRequest request,
    std::function<void(CallEnd, Response)> on_done) {
  auto response = std::make_shared<Response>();
  DirectEvents events;
  events.on_head = [response](const AnswerHead& head, const MessageFraming&) {
    response->status = head.status;
    response->headers = head.headers;
  };
  events.on_bytes = [response](std::string_view bytes) {
    response->body.append(bytes);
  };
  events.on_end = [response, on_done = std::move(on_done)](CallEnd end) {
    on_done(end, std::move(*response));
  };
  request.max_body_bytes = std::min(request.max_body_bytes, kMaxFetchedBytes);
  return Start(loop, std::move(request), std::move(events));
}

const std::string& DirectCall::body() const {
  return this->request.shared_body != nullptr ? *this->request.shared_body
                                              : this->request.body;
}

std::string DirectCall::SerializeHead() const {
  std::string bytes =
      this->request.method + " " + this->request.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : this->request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (!this->body().empty() || this->request.method != "GET") {
    bytes += "content-length: " + std::to_string(this->body().size()) + "\r\n";
  }
  return bytes + (this->request.connection_pool == nullptr
                      ? "connection: close\r\n\r\n"
                      : "\r\n");
}

void DirectCall::Connect() {
  // In a network partition, a connection attempt does not fail by itself.
  this->connect_timer =
      this->loop.RunAfter(this->request.connect_timeout, [this] {
        this->connect_timer = 0;
        auto keep_until_return = this->shared_from_this();
        this->End(CallEnd::kNotSent);
      });
  this->timer = this->loop.RunAfter(this->request.timeout, [this] {
    auto keep_until_return = this->shared_from_this();
    this->End(this->is_connected ? CallEnd::kTimeout : CallEnd::kNotSent);
  });
  if (this->request.connection_pool != nullptr) {
    this->socket = this->request.connection_pool->Take(this->request.target);
    if (this->socket != nullptr) {
      this->socket->data = this;
      this->HandleConnected(nullptr);
      return;
    }
  }
  sockaddr_in target = ToSocketAddress(this->request.target);
  this->socket = h2o_socket_connect(
      this->loop.raw(), reinterpret_cast<sockaddr*>(&target), sizeof target,
      [](h2o_socket_t* opened, const char* failure) {
        auto call = static_cast<DirectCall*>(opened->data)->shared_from_this();
        call->HandleConnected(failure);
      });
  if (this->socket == nullptr) {
    // Callbacks must not run inside Start.
    this->loop.RunAfter(Duration(0), [call = this->shared_from_this()] {
      call->End(CallEnd::kNotSent);
    });
    return;
  }
  this->socket->data = this;
}

void DirectCall::HandleConnected(const char* failure) {
  if (this->is_ended) {
    return;
  }
  this->loop.Cancel(this->connect_timer);
  if (failure != nullptr) {
    this->End(CallEnd::kNotSent);
    return;
  }
  this->is_connected = true;
  const int no_delay = 1;
  setsockopt(h2o_socket_get_fd(this->socket), IPPROTO_TCP, TCP_NODELAY,
             &no_delay, sizeof no_delay);
  if (this->events.on_connected) {
    this->events.on_connected();
    if (this->is_ended) {
      return;
    }
  }
  if (!this->request.is_sent_later) {
    this->WriteRequest();
  }
  this->StartReading();
}

void DirectCall::Send() {
  if (this->is_ended || !std::exchange(this->request.is_sent_later, false)) {
    return;
  }
  if (this->is_connected) {
    this->WriteRequest();
  }
}

void DirectCall::WriteRequest() {
  this->outgoing_head = this->SerializeHead();
  std::array<h2o_iovec_t, 2> buffers{
      h2o_iovec_init(this->outgoing_head.data(), this->outgoing_head.size()),
      h2o_iovec_init(this->body().data(), this->body().size())};
  h2o_socket_write(
      this->socket, buffers.data(), this->body().empty() ? 1 : 2,
      [](h2o_socket_t* target, const char* failure) {
        static_cast<DirectCall*>(target->data)->HandleWritten(failure);
      });
}

// A write that fails does not end the call: the answer may have come before.
void DirectCall::HandleWritten(const char* failure) {
  this->has_write_failed = failure != nullptr;
}

void DirectCall::StartReading() {
  h2o_socket_read_start(
      this->socket, [](h2o_socket_t* source, const char* read_failure) {
        auto call = static_cast<DirectCall*>(source->data)->shared_from_this();
        call->HandleReadable(read_failure);
      });
}

void DirectCall::Pause() {
  if (this->is_ended || std::exchange(this->is_paused, true)) {
    return;
  }
  // The system goes on to receive for a connection that is not read.
  setsockopt(h2o_socket_get_fd(this->socket), SOL_SOCKET, SO_RCVBUF,
             &kPausedReceiveBytes, sizeof kPausedReceiveBytes);
  h2o_socket_read_stop(this->socket);
}

void DirectCall::Resume() {
  if (this->is_ended || !std::exchange(this->is_paused, false)) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  this->StartReading();
  this->ReadBody();
}

void DirectCall::HandleReadable(const char* failure) {
  h2o_buffer_t* received = this->socket->input;
  if (received->size != 0) {
    this->input.append(received->bytes, received->size);
    ConsumeInput(this->socket, received->size);
    if (!this->has_head) {
      this->ReadHead();
    }
    if (this->has_head && !this->is_ended && !this->is_paused) {
      this->ReadBody();
    }
  }
  if (failure != nullptr && !this->is_ended) {
    this->HandleClosed(failure);
  }
}

void DirectCall::ReadHead() {
  while (true) {
    auto parsed = ParseAnswerHead(this->input);
    if (parsed.has_error()) {
      this->End(CallEnd::kMalformed);
      return;
    }
    if (!parsed.value()) {
      if (this->input.size() > kMaxAnswerHeadBytes) {
        this->End(CallEnd::kMalformed);
      }
      return;
    }
    const AnswerHead head = std::move(*parsed.value());
    this->input.erase(0, head.bytes);
    if (is_interim(head)) {
      const bool is_too_many = ++this->interim_heads > kMaxInterimHeads;
      if (is_too_many || !is_valid_interim(head)) {
        this->End(CallEnd::kMalformed);
        return;
      }
      continue;
    }
    const auto message_framing = FramingOfAnswer(head, this->request.method);
    if (message_framing.has_error()) {
      this->End(CallEnd::kMalformed);
      return;
    }
    this->has_head = true;
    this->is_reusable = is_persistent(head.headers, head.minor_version);
    this->reader = BodyReader(message_framing.value());
    if (this->events.on_head) {
      this->events.on_head(head, message_framing.value());
    }
    return;
  }
}

void DirectCall::ReadBody() {
  std::string body;
  const auto consumed = this->reader.Read(this->input, body);
  if (consumed.has_error()) {
    this->End(CallEnd::kMalformed);
    return;
  }
  this->input.erase(0, consumed.value());
  this->body_bytes += body.size();
  if (this->body_bytes > this->request.max_body_bytes) {
    this->End(CallEnd::kTooLong);
    return;
  }
  if (!body.empty() && this->events.on_bytes) {
    this->events.on_bytes(body);
  }
  if (this->is_ended || !this->reader.is_whole()) {
    return;
  }
  // Bytes after the answer belong to no request. End closes the connection if
  // there are any, so they cannot be taken for the next answer.
  this->End(CallEnd::kWhole);
}

void DirectCall::HandleClosed(const char* failure) {
  if (!this->has_head) {
    this->End(this->input.empty() ? CallEnd::kClosed : CallEnd::kMalformed);
    return;
  }
  if (this->reader.framing() != BodyFraming::kUntilClose) {
    this->End(CallEnd::kTruncated);
    return;
  }
  h2o_socket_read_stop(this->socket);
  // A reset is reported as a different failure.
  this->is_read_in_order = failure == h2o_socket_error_closed;
  this->EndUnframedAnswer();
}

void DirectCall::EndUnframedAnswer() {
  const int descriptor = h2o_socket_get_fd(this->socket);
  const UnframedVerdict verdict =
      JudgeUnframedEnd({.is_read_in_order = this->is_read_in_order,
                        .has_write_failed = this->has_write_failed,
                        .is_writing = h2o_socket_is_writing(this->socket) != 0,
                        .unacknowledged_bytes = UnacknowledgedBytes(descriptor),
                        .has_failed = has_connection_failed(descriptor)});
  switch (verdict) {
    case UnframedVerdict::kWhole:
      this->End(CallEnd::kWhole);
      return;
    case UnframedVerdict::kCut:
      this->End(CallEnd::kTruncated);
      return;
    case UnframedVerdict::kUndecided:
      this->end_timer = this->loop.RunAfter(kEndCheckInterval, [this] {
        auto keep_until_return = this->shared_from_this();
        this->EndUnframedAnswer();
      });
      return;
  }
}

void DirectCall::End(CallEnd end) {
  if (this->is_ended) {
    return;
  }
  auto on_end = std::move(this->events.on_end);
  const bool may_reuse =
      end == CallEnd::kWhole && this->is_reusable && this->input.empty() &&
      this->request.connection_pool != nullptr && !this->has_write_failed &&
      h2o_socket_is_writing(this->socket) == 0;
  if (may_reuse) {
    h2o_socket_read_stop(this->socket);
    this->request.connection_pool->Add(this->request.target,
                                       std::exchange(this->socket, nullptr));
  }
  this->Release();
  if (on_end) {
    on_end(end);
  }
}

void DirectCall::Cancel() {
  if (!this->is_ended) {
    this->Release();
  }
}

void DirectCall::Release() {
  this->is_ended = true;
  this->loop.Cancel(this->timer);
  this->loop.Cancel(this->connect_timer);
  this->loop.Cancel(this->end_timer);
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
  // The callbacks may own objects that own this call. They are destroyed after
  // the current callback has returned.
  this->loop.RunAfter(Duration(0), [call = std::exchange(this->self, nullptr)] {
    if (call != nullptr) {
      call->events = {};
    }
  });
}

}  // namespace bramleyspan::http
