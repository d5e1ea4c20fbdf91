#include "StandIns/UsersPlatform/Crashes.h"

#include <algorithm>

namespace bramleyspan::standins {

bool has_part(const Crashes& crashes, const http::IngressRequest& request) {
  if (crashes.part.empty()) {
    return false;
  }
  std::string list(http::FindHeader(request.headers, "x-prompt-prefix"));
  list.erase(std::min(list.rfind(','), list.size()));
  return ("," + list).find("," + crashes.part + ":") != std::string::npos;
}

size_t CountLateArrivals(const Crashes& crashes, Duration after) {
  constexpr size_t kAllowedEnds = 5;
  if (crashes.ends.size() < kAllowedEnds) {
    return 0;
  }
  const TimePoint fifth = crashes.ends[kAllowedEnds - 1];
  return static_cast<size_t>(std::ranges::count_if(
      crashes.arrivals,
      [fifth, after](TimePoint at) { return at > fifth + after; }));
}

}  // namespace bramleyspan::standins
