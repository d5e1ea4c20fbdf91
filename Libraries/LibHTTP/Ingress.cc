#include "LibHTTP/Ingress.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "LibHTTP/IngressConnection.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
// What the system may hold of a connection that is not read. It counts towards
// the process's memory, and the system doubles it.
constexpr int kReceiveBytes = 32768;

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
  const uint64_t number = ++this->last_connection;
  auto connection =
      std::make_shared<IngressConnection>(*this, number, accepted);
  this->connections.emplace(number, connection);
  connection->Start();
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
