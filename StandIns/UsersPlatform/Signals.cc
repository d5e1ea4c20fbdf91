#include "StandIns/UsersPlatform/Signals.h"

#include <algorithm>

namespace bramleyspan::standins {

http::HeaderList SignalHeaders(const ServerSignals& server) {
  http::HeaderList headers;
  if (!server.limit.empty()) {
    headers.emplace_back("server-limit", server.limit);
  }
  if (server.is_leaving) {
    headers.emplace_back("server-leaving", "1");
  }
  return headers;
}

bool RecordArrival(ServerSignals& server, http::IngressExchange& exchange) {
  server.arrivals.push_back(EventLoop::Now());
  if (server.backoff.empty()) {
    return false;
  }
  http::HeaderList headers = SignalHeaders(server);
  headers.emplace_back("x-not-executed", "1");
  headers.emplace_back("retry-after", server.backoff);
  exchange.Respond(503, headers, "");
  return true;
}

size_t CountArrivals(const ServerSignals& server,
                     Duration span,
                     Duration after) {
  const auto& arrivals = server.arrivals;
  size_t most = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(),
                                server.changed_at + after);
  for (; first != arrivals.end(); ++first) {
    const auto last = std::upper_bound(first, arrivals.end(), *first + span);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace bramleyspan::standins
