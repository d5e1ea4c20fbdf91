#include "LibHTTP/Ingress.h"

#include <utility>

#include "LibHTTP/IngressConnection.h"
#include "LibMemory/Connections.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

}  // namespace

Result<std::unique_ptr<Ingress>> Ingress::Listen(EventLoop& loop,
                                                 const Address& address,
                                                 const IngressLimits& limits,
                                                 IngressHandler handler,
                                                 CallerGuard guard) {
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
    ReportTurnedAway(this->guard, TurnedAwayCause::kTooManyConnections,
                     descriptor, 0);
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
  for (const uint64_t number : memory::ChooseClosed(
           std::move(views), CountToClose(this->guard), EventLoop::Now())) {
    const auto connection = this->connections.at(number);
    if (connection->use() == memory::ConnectionUse::kComing) {
      SendUnavailable(connection->descriptor());
    }
    connection->TurnAway(TurnedAwayCause::kTooManyConnections);
    connection->Close();
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
