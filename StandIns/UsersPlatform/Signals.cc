#include "StandIns/UsersPlatform/Signals.h"

#include <algorithm>

namespace bramleyspan::standins {

http::HeaderList SignalHeaders(const ServerSignals& server) {
  http::HeaderList headers;
  if (!server.limit.empty()) {
    headers.emplace_back("server-limit", server.limit);
  }
  return headers;
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
