#include "LibHTTP/IngressConnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <utility>

#include "Kernel/SocketBytes.h"
#include "LibHTTP/AnswerText.h"

namespace bramleyspan::http {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
// How much a closing connection reads while it waits for its caller to close
// it.
constexpr size_t kMaxDiscardedBytes = size_t{1} << 20;
// Callers reuse idle connections for up to four fifths of the idle timeout. If
// the server closed one while a request is on its way, the request would fail
// and use up an attempt.
constexpr Duration kIdleSlack = std::chrono::milliseconds(500);
constexpr unsigned kUserTimeoutMilliseconds = 10'000;
// What each connection may hold of a head besides what is counted; the limit on
// connections covers it.
constexpr size_t kUncountedHeadBytes = 2048;

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(duration).count());
  return text.data();
}

}  // namespace

IngressConnection::IngressConnection(Ingress& server,
                                     uint64_t number,
                                     h2o_socket_t* socket)
    : server(server),
      number(number),
      socket(socket),
      since(EventLoop::Now()),
      idle_since(this->since) {}

void IngressConnection::Start() {
  this->socket->data = this;
  // Limits how long the answer to an unreachable caller is held in memory.
  // Otherwise it is held for as long as the system retransmits.
  setsockopt(this->descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT,
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
  this->request_hold.Release();
  this->delivery_hold.Release();
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
      return this->reader.input.empty()
                 ? unless_delivering(ConnectionWork::kIdle)
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

memory::ConnectionUse IngressConnection::use() const {
  switch (this->work()) {
    case ConnectionWork::kIdle:
      return memory::ConnectionUse::kIdle;
    case ConnectionWork::kReading:
      return memory::ConnectionUse::kComing;
    case ConnectionWork::kClosing:
      return memory::ConnectionUse::kClosing;
    case ConnectionWork::kAnswering:
    case ConnectionWork::kDelivering:
      break;
  }
  return memory::ConnectionUse::kBusy;
}

void IngressConnection::CloseIfIdle(TimePoint since) {
  if (this->phase != Phase::kHead || !this->reader.input.empty() ||
      this->idle_since > since || this->unacknowledged_bytes() != 0) {
    return;
  }
  // A request that has come is read and answered. One that crosses the close
  // is read by nobody, which its caller learns from the reset.
  if (UnreadBytes(this->descriptor()) == 0) {
    this->Close();
  }
}

size_t IngressConnection::unacknowledged_bytes() const {
  return UnacknowledgedBytes(this->descriptor());
}

Duration IngressConnection::longest_idle_time() const {
  return this->server.limits.idle_timeout + kIdleSlack;
}

void IngressConnection::CheckTimeout(TimePoint now) {
  const IngressLimits& limits = this->server.limits;
  switch (this->phase) {
    case Phase::kHead:
      if (this->reader.input.empty() &&
          now - this->idle_since > this->longest_idle_time()) {
        this->Close();
      } else if (!this->reader.input.empty() &&
                 now - this->since > limits.head_timeout) {
        this->TurnAway(TurnedAwayCause::kTooSlow);
        this->Refuse(kRequestTimeout, {});
      }
      return;
    case Phase::kBody:
      if (now - this->since > limits.head_timeout + limits.idle_timeout) {
        this->TurnAway(TurnedAwayCause::kTooSlow);
        this->Refuse(kRequestTimeout, {});
      }
      return;
    case Phase::kAnswer:
      if (this->is_writing &&
          this->CheckDelivery(now) > this->longest_idle_time()) {
        this->TurnAway(TurnedAwayCause::kAnswerNotTaken);
        this->Close();
      } else if (h2o_socket_is_reading(this->socket) == 0 &&
                 has_peer_closed(this->descriptor())) {
        this->Close();
      }
      return;
    case Phase::kLingering:
      this->CheckLingering(now);
      return;
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
  const size_t bytes = received->size;
  if (this->phase == Phase::kLingering) {
    this->Discard(bytes);
    return;
  }
  if (this->phase == Phase::kHead && this->reader.input.empty()) {
    this->since = EventLoop::Now();
  }
  this->reader.input.append(received->bytes, bytes);
  ConsumeInput(this->socket, bytes);
  if (this->phase == Phase::kAnswer) {
    this->HoldAhead();
    return;
  }
  this->request_hold.RecordProgress(bytes);
  this->ReadMore();
}

void IngressConnection::Discard(size_t bytes) {
  ConsumeInput(this->socket, bytes);
  this->discarded_bytes += bytes;
  if (this->discarded_bytes > kMaxDiscardedBytes) {
    h2o_socket_read_stop(this->socket);
  }
}

void IngressConnection::ReadMore() {
  if (this->phase == Phase::kHead && !this->reader.input.empty()) {
    this->ReadHead();
  }
  if (this->phase == Phase::kBody) {
    this->ReadBody();
  }
}

void IngressConnection::ReadHead() {
  const ReadOutcome outcome = http::ReadHead(this->reader, this->server.limits);
  if (outcome != ReadOutcome::kComplete &&
      outcome != ReadOutcome::kIncomplete) {
    this->HandleUnreadable(outcome);
    return;
  }
  // A request for which there is no room is refused before its body is read.
  if (!this->CountRequest()) {
    this->RefuseForRoom(TurnedAwayCause::kNoRoom);
    return;
  }
  if (outcome == ReadOutcome::kIncomplete) {
    return;
  }
  this->phase = Phase::kBody;
  this->since = EventLoop::Now();
  if (this->reader.framing.framing == BodyFraming::kLength) {
    this->reader.body.reserve(this->reader.framing.length);
  }
  if (!this->reader.body_reader.is_whole() && this->reader.input.empty() &&
      has_token(FindHeader(this->reader.head->headers, "expect"),
                "100-continue")) {
    this->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void IngressConnection::ReadBody() {
  const ReadOutcome outcome = http::ReadBody(this->reader, this->server.limits);
  if (outcome != ReadOutcome::kComplete &&
      outcome != ReadOutcome::kIncomplete) {
    this->HandleUnreadable(outcome);
    return;
  }
  if (!this->CountRequest()) {
    this->RefuseForRoom(TurnedAwayCause::kNoRoom);
    return;
  }
  if (outcome == ReadOutcome::kComplete) {
    this->DispatchRequest();
  }
}

void IngressConnection::HandleUnreadable(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::kHeadTooLarge:
      this->TurnAway(TurnedAwayCause::kHeadTooLarge);
      this->Refuse(kHeadersTooLarge, {});
      return;
    case ReadOutcome::kBodyTooLarge:
      this->TurnAway(TurnedAwayCause::kBodyTooLarge);
      this->Refuse(kPayloadTooLarge, {});
      return;
    default:
      this->TurnAway(TurnedAwayCause::kMalformed);
      this->Refuse(kBadRequest, {});
  }
}

bool IngressConnection::CountRequest() {
  const size_t needed = BytesNeeded(this->reader);
  if (!this->reader.head && needed <= kUncountedHeadBytes) {
    return true;
  }
  if (!this->request_hold.is_counted()) {
    this->request_hold =
        memory::Hold(this->server.guard.holds, memory::Stage::kComing,
                     this->CallLater(&IngressConnection::HandleRequestEnded));
  }
  return (needed <= this->request_hold.bytes()) ||
         this->request_hold.Resize(needed);
}

void IngressConnection::RefuseForRoom(TurnedAwayCause cause) {
  const Duration until =
      this->request_hold.TimeUntilRoom(BytesNeeded(this->reader));
  this->TurnAway(cause);
  this->Refuse(kUnavailable, {{"retry-after", FormatSeconds(until)}});
}

void IngressConnection::HandleRequestEnded() {
  if (!this->request_hold.is_ended()) {
    return;
  }
  if (this->phase == Phase::kHead || this->phase == Phase::kBody) {
    this->RefuseForRoom(TurnedAwayCause::kStalled);
  } else if (this->phase == Phase::kAnswer) {
    this->DropAhead();
  }
}

// A caller that sends ahead of its answers gets them one after the other; no
// more than one read of what it sends is held.
void IngressConnection::HoldAhead() {
  h2o_socket_read_stop(this->socket);
  if (!this->CountRequest()) {
    this->DropAhead();
  }
}

// The caller learns from the end of the connection that these requests were
// not read.
void IngressConnection::DropAhead() {
  this->TurnAway(TurnedAwayCause::kNoRoom);
  this->DropRequest();
  this->is_last = true;
}

void IngressConnection::DispatchRequest() {
  this->phase = Phase::kAnswer;
  this->since = EventLoop::Now();
  this->is_answered = false;
  RequestHead& head = *this->reader.head;
  this->is_last = !is_persistent(head.headers, head.minor_version);
  this->exchange = std::make_shared<IngressExchange>();
  this->exchange->connection = this;
  this->exchange->is_chunked = head.minor_version > 0;
  this->request_hold.SetStage(memory::Stage::kAtWork, nullptr);
  IngressRequest request{
      .method = std::move(head.method),
      .target = std::move(head.target),
      .headers = std::move(head.headers),
      .body = std::exchange(this->reader.body, {}),
      .hold = std::make_shared<memory::Hold>(std::move(this->request_hold)),
  };
  this->reader.head.reset();
  const size_t question = request.target.find('?');
  request.path = request.target.substr(0, question);
  if (question != std::string::npos) {
    request.query = request.target.substr(question + 1);
  }
  request.host = std::string(FindHeader(request.headers, "host"));
  if (!this->reader.input.empty()) {
    this->HoldAhead();
  }
  const auto open = this->exchange;
  this->server.handler(std::move(request), open);
}

// Assigning an empty reader would keep the memory of its texts.
void IngressConnection::DropRequest() {
  std::exchange(this->reader, RequestReader());
  this->request_hold.Release();
}

void IngressConnection::TurnAway(TurnedAwayCause cause) {
  ReportTurnedAway(this->server.guard, cause, this->descriptor(),
                   this->reader.input.size() + this->reader.body.size() +
                       this->outgoing.bytes());
}

void IngressConnection::Refuse(int status, const HeaderList& headers) {
  this->is_last = true;
  this->is_answered = true;
  this->phase = Phase::kAnswer;
  this->DropRequest();
  this->Send(SerializeHead(status, headers, "content-length: 0\r\n", true));
  this->EndAnswer();
}

std::function<void()> IngressConnection::CallLater(
    void (IngressConnection::*method)()) {
  return [self = this->weak_from_this(), method] {
    const auto connection = self.lock();
    if (connection != nullptr && connection->phase != Phase::kClosed) {
      ((*connection).*method)();
    }
  };
}

}  // namespace bramleyspan::http
