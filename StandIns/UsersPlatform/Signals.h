// What a server asks of its callers in its answers, and when requests reached
// it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibHTTP/Ingress.h"
#include "LibHTTP/Message.h"

namespace bramleyspan::standins {

struct ServerSignals {
  // The Server-Limit header; none is sent if it is empty.
  std::string limit;
  // The Retry-After header, in seconds; while it is set the server rejects all
  // requests with 503.
  std::string backoff;
  // Whether all answers have Server-Leaving.
  bool is_leaving = false;
  // The status with which it answers all requests, which it has run; 0 if they
  // succeed.
  int failure_status = 0;
  // When the signals were last changed.
  TimePoint changed_at;
  std::vector<TimePoint> arrivals;
};

// By id of the server.
using Signals = std::map<std::string, ServerSignals>;

// Returns the headers that a server adds to an answer.
http::HeaderList SignalHeaders(const ServerSignals& server);

// Records the arrival of a request, and rejects it if the server asks for a
// backoff. Returns whether it was rejected.
bool RecordArrival(ServerSignals& server, http::IngressExchange& exchange);

// Returns the most requests that reached the server within `span`, among spans
// that begin at least `after` after the last change of its signals.
size_t CountArrivals(const ServerSignals& server,
                     Duration span,
                     Duration after);

}  // namespace bramleyspan::standins
