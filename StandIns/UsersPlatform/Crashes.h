// Servers that end under requests with a certain part in their prompts, or
// under certain requests, and return after a while.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibHTTP/Ingress.h"

namespace bramleyspan::standins {

// The arrivals of one request at servers, and the ends of servers under it.
struct RequestCrashes {
  std::vector<TimePoint> ends;
  std::vector<TimePoint> arrivals;
};

struct Crashes {
  // A server ends that begins to answer a request with this part; none does
  // while it is empty.
  std::string part;
  // A server also ends that begins to answer a request whose body begins with
  // this. Requests are told apart by their bodies.
  std::string body;
  // Whether a stream under which a server ends goes on until then.
  bool answers = false;
  // Time from the beginning of an answer to the end of its server.
  Duration delay{};
  // Time until the server is back.
  Duration down{};
  // Whether servers return under new ids.
  bool renames = false;
  // When servers ended under the part, and when requests with it reached any.
  std::vector<TimePoint> ends;
  std::vector<TimePoint> arrivals;
  // By body.
  std::map<std::string, RequestCrashes> requests;
};

// Whether the request's prompt has the part, as any but its last one, or its
// body is that of a killing request.
bool is_killing(const Crashes& crashes, const http::IngressRequest& request);

// Records that a killing request has reached a server, and that a server has
// ended under one.
void RecordKillingArrival(Crashes& crashes,
                          const http::IngressRequest& request);
void RecordCrash(Crashes& crashes, const std::string& body);

// Returns how many requests with the part reached servers later than `after`
// past the fifth end.
size_t CountLateArrivals(const Crashes& crashes, Duration after);

// Returns how often the request reached servers later than `after` past the
// third end under it.
size_t CountLateArrivals(const RequestCrashes& request, Duration after);

}  // namespace bramleyspan::standins
