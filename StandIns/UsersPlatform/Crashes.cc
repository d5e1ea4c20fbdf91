#include "StandIns/UsersPlatform/Crashes.h"

#include <algorithm>

namespace bramleyspan::standins {

namespace {

// Returns how many of the arrivals are later than `after` past the given end,
// counted from 1.
size_t CountLate(const std::vector<TimePoint>& arrivals,
                 const std::vector<TimePoint>& ends,
                 size_t number,
                 Duration after) {
  if (ends.size() < number) {
    return 0;
  }
  const TimePoint last = ends[number - 1] + after;
  return static_cast<size_t>(std::ranges::count_if(
      arrivals, [last](TimePoint at) { return at > last; }));
}

bool has_killing_body(const Crashes& crashes, const std::string& body) {
  return !crashes.body.empty() && body.starts_with(crashes.body);
}

}  // namespace

bool is_killing(const Crashes& crashes, const http::IngressRequest& request) {
  if (has_killing_body(crashes, request.body)) {
    return true;
  }
  if (crashes.part.empty()) {
    return false;
  }
  std::string list(http::FindHeader(request.headers, "x-prompt-prefix"));
  list.erase(std::min(list.rfind(','), list.size()));
  return ("," + list).find("," + crashes.part + ":") != std::string::npos;
}

void RecordKillingArrival(Crashes& crashes,
                          const http::IngressRequest& request) {
  crashes.arrivals.push_back(EventLoop::Now());
  if (has_killing_body(crashes, request.body)) {
    crashes.requests[request.body].arrivals.push_back(EventLoop::Now());
  }
}

void RecordCrash(Crashes& crashes, const std::string& body) {
  crashes.ends.push_back(EventLoop::Now());
  if (has_killing_body(crashes, body)) {
    crashes.requests[body].ends.push_back(EventLoop::Now());
  }
}

size_t CountLateArrivals(const Crashes& crashes, Duration after) {
  constexpr size_t kAllowedEnds = 5;
  return CountLate(crashes.arrivals, crashes.ends, kAllowedEnds, after);
}

size_t CountLateArrivals(const RequestCrashes& request, Duration after) {
  constexpr size_t kAllowedEnds = 3;
  return CountLate(request.arrivals, request.ends, kAllowedEnds, after);
}

}  // namespace bramleyspan::standins
