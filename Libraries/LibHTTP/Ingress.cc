#include "LibHTTP/Ingress.h"

#include <utility>

#include "LibHTTP/IngressConnection.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

}  // namespace

Result<std::unique_ptr<Ingress>> Ingress::Listen(EventLoop& loop,
                                                 const Address& address,
                                                 const IngressLimits& limits,
                                                 IngressHandler handler) {
  std::unique_ptr<Ingress> ingress(new Ingress(loop));
  Ingress* server = ingress.get();
  server->limits = limits;
  server->handler = std::move(handler);
  server->listener =
      TRY(Listener::Listen(loop, address, [server](h2o_socket_t* accepted) {
        const uint64_t number = ++server->last_connection;
        auto connection =
            std::make_shared<IngressConnection>(*server, number, accepted);
        server->connections.emplace(number, connection);
        connection->Start();
      }));
  server->CheckTimeouts();
  return ingress;
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
