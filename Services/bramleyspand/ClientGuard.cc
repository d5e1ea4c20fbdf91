#include "Services/bramleyspand/ClientGuard.h"

#include <utility>

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"

namespace bramleyspan {

namespace {

using telemetry::MetricName;

constexpr MetricName kTurnedAway{
    "bramleyspan_clients_turned_away_total",
    "Requests refused and connections closed before a request was read, by "
    "port and cause: no_room, stalled, answer_not_taken, too_many_connections, "
    "head_too_large, body_too_large, too_slow, malformed."};
constexpr MetricName kHeldBytes{
    "bramleyspan_held_bytes",
    "Bytes held for callers and targets: of=all, of=large those of large "
    "requests and answers, of=limit the most that all may take."};
constexpr MetricName kHolders{"bramleyspan_holders",
                              "Requests and answers that hold bytes."};

}  // namespace

http::IngressGuard GuardClients(const std::string& port,
                                std::shared_ptr<memory::HoldTable> holds,
                                size_t max_connections) {
  const memory::Account& account = holds->account;
  auto report = [port, &account](const http::TurnedAway& client) {
    telemetry::Count(
        kTurnedAway,
        {{"port", port}, {"cause", std::string(NameOf(client.cause))}});
    telemetry::Log(telemetry::LogLevel::kWarning, "clients", "turned_away",
                   {{"port", port},
                    {"cause", std::string(NameOf(client.cause))},
                    {"peer", client.peer_ip},
                    {"bytes", std::to_string(client.bytes)},
                    {"held_bytes", std::to_string(account.held)},
                    {"limit_bytes", std::to_string(account.limits.all)}});
  };
  return {.holds = std::move(holds),
          .max_connections = max_connections,
          .on_turned_away = std::move(report)};
}

void UpdateHeldGauges(const memory::HoldTable& holds) {
  const memory::Account& account = holds.account;
  telemetry::SetGauge(kHeldBytes, {{"of", "all"}},
                      static_cast<double>(account.held));
  telemetry::SetGauge(kHeldBytes, {{"of", "large"}},
                      static_cast<double>(account.held_by_large));
  telemetry::SetGauge(kHeldBytes, {{"of", "limit"}},
                      static_cast<double>(account.limits.all));
  telemetry::SetGauge(kHolders, {},
                      static_cast<double>(account.holders.size()));
}

}  // namespace bramleyspan
