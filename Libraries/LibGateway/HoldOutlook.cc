#include "LibGateway/HoldOutlook.h"

#include <algorithm>

#include "LibGateway/RateLimits.h"

namespace bramleyspan::gateway {

std::optional<HoldOutlook> FindHoldOutlook(
    const TargetTable& table,
    std::string_view service,
    const std::set<std::string>& excluded,
    TimePoint now) {
  if (table.signals.empty()) {
    return std::nullopt;
  }
  bool is_any_free = false;
  HoldOutlook outlook{.release = TimePoint::max(), .rate = 0};
  ForEachUsable(table, service, excluded, [&](const TargetView& view) {
    const TimePoint until = HeldUntil(table, view.target.id, now);
    is_any_free = is_any_free || until <= now;
    outlook.release = std::min(outlook.release, until);
    const auto found = table.signals.find(view.target.id);
    const bool is_limited = found != table.signals.end() &&
                            found->second.rate_limit.per_second.has_value();
    if (!is_limited) {
      outlook.rate = std::nullopt;
    } else if (outlook.rate) {
      *outlook.rate += GrantedRate(found->second.rate_limit);
    }
  });
  const bool has_targets = outlook.release != TimePoint::max();
  return is_any_free || !has_targets ? std::nullopt
                                     : std::optional<HoldOutlook>(outlook);
}

TimePoint ReleaseOf(const HoldOutlook& outlook, size_t ahead, size_t gateways) {
  if (!outlook.rate) {
    return outlook.release;
  }
  const double own_rate =
      *outlook.rate / static_cast<double>(std::max<size_t>(1, gateways));
  return outlook.release +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(ahead) / own_rate));
}

}  // namespace bramleyspan::gateway
