// Servers that end under requests with a certain part in their prompts, and
// return after a while.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibHTTP/Ingress.h"

namespace bramleyspan::standins {

struct Crashes {
  // A server ends that begins to answer a request with this part; none does
  // while it is empty.
  std::string part;
  // Time from the beginning of an answer to the end of its server.
  Duration delay{};
  // Time until the server is back.
  Duration down{};
  // Whether servers return under new ids.
  bool renames = false;
  // When servers ended under the part, and when requests with it reached any.
  std::vector<TimePoint> ends;
  std::vector<TimePoint> arrivals;
};

// Whether the request's prompt has the part, as any but its last one.
bool has_part(const Crashes& crashes, const http::IngressRequest& request);

// Returns how many requests with the part reached servers later than `after`
// past the fifth end.
size_t CountLateArrivals(const Crashes& crashes, Duration after);

}  // namespace bramleyspan::standins
