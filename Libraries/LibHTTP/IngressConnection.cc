#include "LibHTTP/IngressConnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <utility>

#include "Kernel/SocketBytes.h"

namespace bramleyspan::http {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// Bytes of further requests that are buffered while an answer is pending.
constexpr size_t kMaxPipelinedBytes = 1 << 16;
// How long a closing connection waits for its caller to close it.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Callers reuse idle connections for up to four fifths of the idle timeout. If
// the server closed one while a request is on its way, the request would fail
// and use up an attempt.
constexpr Duration kIdleSlack = std::chrono::milliseconds(500);
constexpr unsigned kUserTimeoutMilliseconds = 10'000;

std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string ChunkOf(std::string_view bytes) {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16)
                       .ptr;
  std::string chunk(digits.data(), end);
  chunk.append("\r\n").append(bytes).append("\r\n");
  return chunk;
}

}  // namespace

IngressConnection::IngressConnection(Ingress& server,
                                     uint64_t number,
                                     h2o_socket_t* socket)
    : server(server), number(number), socket(socket), since(EventLoop::Now()) {}

void IngressConnection::Start() {
  this->socket->data = this;
  // Limits how long the answer to an unreachable caller is held in memory.
  // Otherwise it is held for as long as the system retransmits.
  setsockopt(h2o_socket_get_fd(this->socket), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUserTimeoutMilliseconds, sizeof kUserTimeoutMilliseconds);
  h2o_socket_read_start(
      this->socket, [](h2o_socket_t* source, const char* failure) {
        auto connection =
            static_cast<IngressConnection*>(source->data)->shared_from_this();
        connection->HandleReadable(failure);
      });
}

void IngressConnection::Close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  this->phase = Phase::kClosed;
  h2o_socket_read_stop(this->socket);
  h2o_socket_close(std::exchange(this->socket, nullptr));
  this->server.connections.erase(this->number);
  if (auto open = std::exchange(this->exchange, nullptr)) {
    open->connection = nullptr;
    auto callback = std::exchange(open->disconnect_callback, nullptr);
    if (callback && !this->is_answered) {
      callback();
    }
  }
}

ConnectionWork IngressConnection::work() const {
  const auto unless_delivering = [this](ConnectionWork work) {
    return this->unacknowledged_bytes() != 0 ? ConnectionWork::kDelivering
                                             : work;
  };
  switch (this->phase) {
    case Phase::kHead:
      return this->input.empty() ? unless_delivering(ConnectionWork::kIdle)
                                 : ConnectionWork::kReading;
    case Phase::kBody:
      return ConnectionWork::kReading;
    case Phase::kAnswer:
      return this->is_answered ? ConnectionWork::kDelivering
                               : ConnectionWork::kAnswering;
    case Phase::kLingering:
      return unless_delivering(ConnectionWork::kClosing);
    case Phase::kClosed:
      break;
  }
  return ConnectionWork::kClosing;
}

void IngressConnection::CloseIfIdle(TimePoint since) {
  if (this->phase != Phase::kHead || !this->input.empty() ||
      this->since > since || this->unacknowledged_bytes() != 0) {
    return;
  }
  // A request that has come is read and answered. One that crosses the close
  // is read by nobody, which its caller learns from the reset.
  if (UnreadBytes(h2o_socket_get_fd(this->socket)) == 0) {
    this->Close();
  }
}

size_t IngressConnection::unacknowledged_bytes() const {
  return UnacknowledgedBytes(h2o_socket_get_fd(this->socket));
}

void IngressConnection::CheckTimeout(TimePoint now) {
  const IngressLimits& limits = this->server.limits;
  switch (this->phase) {
    case Phase::kHead:
      if (this->input.empty() &&
          now - this->since > limits.idle_timeout + kIdleSlack) {
        this->Close();
      } else if (!this->input.empty() &&
                 now - this->since > limits.head_timeout) {
        this->Refuse(kRequestTimeout, {});
      }
      return;
    case Phase::kBody:
      if (now - this->since > limits.head_timeout + limits.idle_timeout) {
        this->Refuse(kRequestTimeout, {});
      }
      return;
    case Phase::kLingering:
      // A caller that reads slowly has taken no more than a part by then.
      if (now - this->since > kLingerTime &&
          this->unacknowledged_bytes() == 0) {
        this->Close();
      }
      return;
    case Phase::kAnswer:
    case Phase::kClosed:
      return;
  }
}

void IngressConnection::HandleReadable(const char* failure) {
  if (failure != nullptr) {
    this->Close();
    return;
  }
  h2o_buffer_t* received = this->socket->input;
  if (this->phase == Phase::kLingering) {
    h2o_buffer_consume(&this->socket->input, received->size);
    return;
  }
  if (this->phase == Phase::kHead && this->input.empty()) {
    this->since = EventLoop::Now();
  }
  this->input.append(received->bytes, received->size);
  h2o_buffer_consume(&this->socket->input, received->size);
  if (this->phase == Phase::kAnswer) {
    if (this->input.size() > kMaxPipelinedBytes) {
      h2o_socket_read_stop(this->socket);
    }
    return;
  }
  this->ReadMore();
}

void IngressConnection::ReadMore() {
  if (this->phase == Phase::kHead && !this->input.empty()) {
    this->ReadHead();
  }
  if (this->phase == Phase::kBody) {
    this->ReadBody();
  }
}

void IngressConnection::ReadHead() {
  // RFC 9112, section 2.2: a server ignores empty lines before a request.
  while (this->input.starts_with("\r\n")) {
    this->input.erase(0, 2);
  }
  if (this->input.empty()) {
    return;
  }
  auto parsed = ParseRequestHead(this->input);
  if (parsed.has_error()) {
    this->Refuse(kBadRequest, {});
    return;
  }
  if (!parsed.value()) {
    if (this->input.size() > this->server.limits.max_head_bytes) {
      this->Refuse(kHeadersTooLarge, {});
    }
    return;
  }
  this->head = std::move(parsed.value());
  if (this->head->bytes > this->server.limits.max_head_bytes) {
    this->Refuse(kHeadersTooLarge, {});
    return;
  }
  const auto message_framing = FramingOfRequest(*this->head);
  if (message_framing.has_error()) {
    this->Refuse(kBadRequest, {});
    return;
  }
  if (message_framing.value().length > this->server.limits.max_body_bytes) {
    this->Refuse(kPayloadTooLarge, {});
    return;
  }
  this->input.erase(0, this->head->bytes);
  this->body_reader = BodyReader(message_framing.value());
  this->body.clear();
  this->phase = Phase::kBody;
  this->since = EventLoop::Now();
  if (!this->body_reader.is_whole() && this->input.empty() &&
      has_token(FindHeader(this->head->headers, "expect"), "100-continue")) {
    this->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void IngressConnection::ReadBody() {
  const auto consumed = this->body_reader.Read(this->input, this->body);
  if (consumed.has_error()) {
    this->Refuse(kBadRequest, {});
    return;
  }
  this->input.erase(0, consumed.value());
  if (this->body.size() > this->server.limits.max_body_bytes) {
    this->Refuse(kPayloadTooLarge, {});
    return;
  }
  if (this->body_reader.is_whole()) {
    this->DispatchRequest();
  }
}

void IngressConnection::DispatchRequest() {
  this->phase = Phase::kAnswer;
  this->since = EventLoop::Now();
  this->is_answered = false;
  this->is_last =
      !is_persistent(this->head->headers, this->head->minor_version);
  this->exchange = std::make_shared<IngressExchange>();
  this->exchange->connection = this;
  this->exchange->is_chunked = this->head->minor_version > 0;
  IngressRequest request{
      .method = std::move(this->head->method),
      .target = std::move(this->head->target),
      .headers = std::move(this->head->headers),
      .body = std::exchange(this->body, {}),
  };
  this->head.reset();
  const size_t question = request.target.find('?');
  request.path = request.target.substr(0, question);
  if (question != std::string::npos) {
    request.query = request.target.substr(question + 1);
  }
  request.host = std::string(FindHeader(request.headers, "host"));
  const auto open = this->exchange;
  this->server.handler(std::move(request), open);
}

void IngressConnection::Refuse(int status, const HeaderList& headers) {
  this->is_last = true;
  this->is_answered = true;
  this->phase = Phase::kAnswer;
  this->Send(this->SerializeHead(status, headers, "content-length: 0\r\n"));
  this->EndAnswer();
}

std::string IngressConnection::SerializeHead(int status,
                                             const HeaderList& headers,
                                             std::string_view framing) const {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(ReasonOf(status)).append("\r\n");
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append(framing);
  if (this->is_last) {
    text.append("connection: close\r\n");
  }
  return text + "\r\n";
}

void IngressConnection::Send(std::string_view bytes) {
  this->outgoing.append(bytes);
  this->Flush();
}

void IngressConnection::Flush() {
  if (this->is_writing || this->outgoing.empty() || this->socket == nullptr) {
    return;
  }
  this->in_flight = std::exchange(this->outgoing, {});
  this->is_writing = true;
  h2o_iovec_t buffer =
      h2o_iovec_init(this->in_flight.data(), this->in_flight.size());
  h2o_socket_write(
      this->socket, &buffer, 1, [](h2o_socket_t* target, const char* failure) {
        auto connection =
            static_cast<IngressConnection*>(target->data)->shared_from_this();
        connection->HandleWritten(failure);
      });
}

void IngressConnection::HandleWritten(const char* failure) {
  this->is_writing = false;
  this->in_flight.clear();
  if (failure != nullptr) {
    this->Close();
    return;
  }
  this->Flush();
  if (this->is_answered && !this->is_writing && this->phase == Phase::kAnswer) {
    this->EndAnswer();
  }
}

// Marks the answer as complete. Once its last byte is written, continues with
// the next request or closes the connection.
void IngressConnection::EndAnswer() {
  this->is_answered = true;
  if (this->is_writing || this->phase != Phase::kAnswer) {
    return;
  }
  if (this->is_last) {
    this->Linger();
    return;
  }
  this->phase = Phase::kHead;
  this->since = EventLoop::Now();
  if (h2o_socket_is_reading(this->socket) == 0) {
    this->Start();
  }
  this->ReadMore();
}

// Closing a socket with unread input resets the connection, and the caller may
// receive the reset before the answer. So only the sending side is closed, and
// further input is read and discarded.
void IngressConnection::Linger() {
  this->phase = Phase::kLingering;
  this->since = EventLoop::Now();
  this->exchange = nullptr;
  this->ResetOnClose(false);
  shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
  if (h2o_socket_is_reading(this->socket) == 0) {
    this->Start();
  }
}

void IngressConnection::ResetOnClose(bool is_reset) {
  if (std::exchange(this->is_reset_on_close, is_reset) == is_reset) {
    return;
  }
  const linger option{.l_onoff = is_reset ? 1 : 0, .l_linger = 0};
  setsockopt(h2o_socket_get_fd(this->socket), SOL_SOCKET, SO_LINGER, &option,
             sizeof option);
}

bool IngressExchange::MayPerform(AnswerStep step) {
  if (this->is_closed()) {
    return false;
  }
  const StepOutcome outcome = Advance(this->phase, step);
  if (outcome == StepOutcome::kCut) {
    this->disconnect_callback = nullptr;
    this->connection->ResetOnClose(!this->is_chunked);
    this->connection->Close();
  }
  return outcome == StepOutcome::kPerform;
}

std::shared_ptr<IngressConnection> IngressExchange::Detach() {
  auto channel = this->connection->shared_from_this();
  this->disconnect_callback = nullptr;
  this->connection = nullptr;
  channel->exchange = nullptr;
  channel->is_answered = true;
  return channel;
}

void IngressExchange::Respond(int status,
                              const HeaderList& headers,
                              std::string_view body) {
  if (!this->MayPerform(AnswerStep::kRespond)) {
    return;
  }
  const auto channel = this->Detach();
  channel->is_last = channel->is_last || channel->server.is_draining;
  std::string bytes = channel->SerializeHead(
      status, headers,
      "content-length: " + std::to_string(body.size()) + "\r\n");
  bytes.append(body);
  channel->Send(bytes);
}

void IngressExchange::StartStream(int status, const HeaderList& headers) {
  if (!this->MayPerform(AnswerStep::kStartStream)) {
    return;
  }
  IngressConnection& channel = *this->connection;
  channel.is_last =
      channel.is_last || channel.server.is_draining || !this->is_chunked;
  channel.ResetOnClose(!this->is_chunked);
  channel.Send(channel.SerializeHead(
      status, headers,
      this->is_chunked ? "transfer-encoding: chunked\r\n" : ""));
}

void IngressExchange::Write(std::string_view bytes) {
  if (bytes.empty() || !this->MayPerform(AnswerStep::kWrite)) {
    return;
  }
  IngressConnection& channel = *this->connection;
  if (this->is_chunked) {
    channel.Send(ChunkOf(bytes));
  } else {
    channel.Send(bytes);
  }
  // Bounds the memory that a caller can use by reading more slowly than the
  // back end writes. The caller's answer is truncated.
  if (channel.outgoing.size() > channel.server.limits.max_pending_bytes) {
    channel.Close();
  }
}

void IngressExchange::Finish() {
  if (!this->MayPerform(AnswerStep::kFinish)) {
    return;
  }
  const auto channel = this->Detach();
  if (this->is_chunked) {
    channel->Send("0\r\n\r\n");
  } else {
    channel->EndAnswer();
  }
}

void IngressExchange::Abort() {
  this->MayPerform(AnswerStep::kAbort);
}

}  // namespace bramleyspan::http
