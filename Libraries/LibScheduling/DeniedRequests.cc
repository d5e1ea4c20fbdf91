#include "LibScheduling/DeniedRequests.h"

#include <algorithm>

namespace bramleyspan::scheduling {

namespace {

// A waiting stream's gateway probes again within a few tens of milliseconds,
// mostly other ranks; by then one of them has granted a permit.
constexpr Duration kLifetime = std::chrono::milliseconds(100);
constexpr size_t kMaxRecords = 64;

}  // namespace

void RecordDenial(DeniedRequests& denied,
                  const StreamClass& stream_class,
                  TimePoint now) {
  std::erase_if(denied.recent, [now](const DeniedRequest& request) {
    return now - request.at > kLifetime;
  });
  denied.recent.push_back({.stream_class = stream_class, .at = now});
  // The least urgent ones go first: they hold back the fewest others.
  if (denied.recent.size() > kMaxRecords) {
    denied.recent.erase(std::ranges::max_element(denied.recent, {},
                                                 &DeniedRequest::stream_class));
  }
}

void RecordGrant(DeniedRequests& denied,
                 const StreamClass& stream_class,
                 TimePoint now) {
  const auto found =
      std::ranges::find_if(denied.recent, [&](const DeniedRequest& request) {
        return request.stream_class == stream_class &&
               now - request.at <= kLifetime;
      });
  if (found != denied.recent.end()) {
    denied.recent.erase(found);
  }
}

bool is_held_back(const DeniedRequests& denied,
                  const StreamClass& stream_class,
                  TimePoint now) {
  return std::ranges::any_of(denied.recent, [&](const DeniedRequest& request) {
    return now - request.at <= kLifetime &&
           request.stream_class.priority < stream_class.priority;
  });
}

}  // namespace bramleyspan::scheduling
