#include "LibGateway/Availability.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// A rank that has crashed is back, and its group open, within this time;
// otherwise its server is gone.
constexpr Duration kLongestForming = std::chrono::seconds(6);
// An older report does not tell whether the group is open.
constexpr Duration kLongestReportAge = std::chrono::seconds(3);

}  // namespace

void UpdateAvailability(Availability& availability,
                        const TargetTable& targets,
                        std::string_view service,
                        TimePoint now) {
  availability.groups.clear();
  bool has_unknown_rank = false;
  bool is_any_open = false;
  ForEachUsable(targets, service, {}, [&](const TargetView& view) {
    if (!view.rank || now - view.rank->received_at > kLongestReportAge) {
      has_unknown_rank = true;
      return;
    }
    GroupRanks& group = availability.groups[view.rank->group];
    ++group.reported;
    group.size = std::max(group.size, view.rank->size);
    group.is_open = group.is_open || view.rank->is_open;
    is_any_open = is_any_open || view.rank->is_open;
  });
  if (is_any_open || has_unknown_rank || availability.groups.empty()) {
    availability.closed_since.reset();
  } else if (!availability.closed_since) {
    availability.closed_since = now;
  }
}

bool is_unavailable(const Availability& availability, TimePoint now) {
  return availability.closed_since &&
         now - *availability.closed_since > kLongestForming;
}

std::string Describe(const Availability& availability) {
  std::string text;
  for (const auto& [name, group] : availability.groups) {
    text += (text.empty() ? "" : ", ") + name + " " +
            std::to_string(group.reported) + "/" + std::to_string(group.size);
  }
  return text;
}

}  // namespace bramleyspan::gateway
