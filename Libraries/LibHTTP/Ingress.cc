#include "LibHTTP/Ingress.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "LibHTTP/AnswerText.h"
#include "LibHTTP/IngressConnection.h"
#include "LibMemory/Connections.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
// What the system may hold of a connection that is not read. It counts towards
// the process's memory, and the system doubles it.
constexpr int kReceiveBytes = 32768;
// The part of a port's connections that is closed at once for others.
constexpr size_t kClosedDivisor = 16;
constexpr int kUnavailable = 503;

// Returns an empty text if the system can't tell.
std::string PeerIpOf(int descriptor) {
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) !=
      0) {
    return "";
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  return inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
}

// Answers a connection that is closed without being served.
void SendUnavailable(int descriptor) {
  const std::string answer = SerializeHead(kUnavailable, {{"retry-after", "1"}},
                                           "content-length: 0\r\n", true);
  send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace

std::string_view NameOf(TurnedAwayCause cause) {
  switch (cause) {
    case TurnedAwayCause::kNoRoom:
      return "no_room";
    case TurnedAwayCause::kStalled:
      return "stalled";
    case TurnedAwayCause::kAnswerNotTaken:
      return "answer_not_taken";
    case TurnedAwayCause::kTooManyConnections:
      return "too_many_connections";
    case TurnedAwayCause::kHeadTooLarge:
      return "head_too_large";
    case TurnedAwayCause::kBodyTooLarge:
      return "body_too_large";
    case TurnedAwayCause::kTooSlow:
      return "too_slow";
    case TurnedAwayCause::kMalformed:
      return "malformed";
  }
  return "malformed";
}

Result<std::unique_ptr<Ingress>> Ingress::Listen(EventLoop& loop,
                                                 const Address& address,
                                                 const IngressLimits& limits,
                                                 IngressHandler handler,
                                                 IngressGuard guard) {
  std::unique_ptr<Ingress> ingress(new Ingress(loop));
  Ingress* server = ingress.get();
  server->limits = limits;
  server->handler = std::move(handler);
  server->guard = std::move(guard);
  server->listener = TRY(Listener::Listen(
      loop, address,
      [server](h2o_socket_t* accepted) { server->Accept(accepted); },
      kReceiveBytes));
  server->CheckTimeouts();
  return ingress;
}

void Ingress::Accept(h2o_socket_t* accepted) {
  if (this->connections.size() >= this->guard.max_connections) {
    this->CloseForOthers();
  }
  if (this->connections.size() >= this->guard.max_connections) {
    const int descriptor = h2o_socket_get_fd(accepted);
    this->ReportTurnedAway(TurnedAwayCause::kTooManyConnections, descriptor, 0);
    SendUnavailable(descriptor);
    h2o_socket_close(accepted);
    return;
  }
  const uint64_t number = ++this->last_connection;
  auto connection =
      std::make_shared<IngressConnection>(*this, number, accepted);
  this->connections.emplace(number, connection);
  connection->Start();
}

void Ingress::CloseForOthers() {
  std::vector<memory::ConnectionView> views;
  for (const auto& [number, connection] : this->connections) {
    views.push_back({.number = number,
                     .use = connection->use(),
                     .since = connection->used_since()});
  }
  const size_t most =
      std::max<size_t>(1, this->guard.max_connections / kClosedDivisor);
  for (const uint64_t number :
       memory::ChooseClosed(std::move(views), most, EventLoop::Now())) {
    const auto connection = this->connections.at(number);
    if (connection->use() == memory::ConnectionUse::kComing) {
      SendUnavailable(connection->descriptor());
    }
    connection->TurnAway(TurnedAwayCause::kTooManyConnections);
    connection->Close();
  }
}

void Ingress::ReportTurnedAway(TurnedAwayCause cause,
                               int descriptor,
                               size_t bytes) {
  if (this->guard.on_turned_away) {
    this->guard.on_turned_away(
        {.cause = cause, .peer_ip = PeerIpOf(descriptor), .bytes = bytes});
  }
}

Ingress::~Ingress() {
  this->loop.Cancel(this->timer);
  const auto open = std::exchange(this->connections, {});
  for (const auto& [number, connection] : open) {
    connection->Close();
  }
}

void Ingress::StopListening() {
  if (this->listener != nullptr) {
    this->listener->AcceptPending();
    this->listener = nullptr;
  }
}

void Ingress::CloseIdle(Duration idle_for) {
  const TimePoint now = EventLoop::Now();
  const auto open = this->connections;
  for (const auto& [number, connection] : open) {
    connection->CloseIfIdle(now - idle_for);
  }
}

void Ingress::RefuseReading(int status, const HeaderList& headers) {
  const auto open = this->connections;
  for (const auto& [number, connection] : open) {
    if (connection->work() == ConnectionWork::kReading) {
      connection->Refuse(status, headers);
    }
  }
}

IngressWork Ingress::CountWork() const {
  IngressWork work;
  for (const auto& [number, connection] : this->connections) {
    switch (connection->work()) {
      case ConnectionWork::kIdle:
        ++work.idle;
        break;
      case ConnectionWork::kReading:
        ++work.reading;
        break;
      case ConnectionWork::kAnswering:
        ++work.answering;
        break;
      case ConnectionWork::kDelivering:
        ++work.delivering;
        break;
      case ConnectionWork::kClosing:
        ++work.closing;
        break;
    }
  }
  return work;
}

// One timer serves all connections. On a quarter of a processor core, one timer
// for each connection would cost more than handling the requests.
void Ingress::CheckTimeouts() {
  const TimePoint now = EventLoop::Now();
  const auto open = this->connections;
  for (const auto& [number, connection] : open) {
    connection->CheckTimeout(now);
  }
  this->timer =
      this->loop.RunAfter(kCheckInterval, [this] { this->CheckTimeouts(); });
}

}  // namespace bramleyspan::http
