#include "Services/bramleyspand/ClientGuard.h"

#include <utility>

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"
#include "Services/bramleyspand/Answers.h"

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

std::shared_ptr<memory::HoldTable> MakeHolds(const Settings& settings,
                                             EventLoop& loop) {
  return memory::MakeHoldTable(memory::LimitsOf(settings.memory_bytes),
                               TimersOf(loop));
}

memory::ConnectionShares SharesOf(const Settings& settings) {
  return memory::SharesOf(settings.max_descriptors, settings.memory_bytes);
}

http::CallerGuard GuardClients(const std::string& port,
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

http::Response RefusalForRoom() {
  return ToResponse(
      {.error = {ErrorCode::kUnavailable, "request", "no room for it"},
       .run = RunState::kNotRun,
       .retry_after = memory::kStallTime});
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
