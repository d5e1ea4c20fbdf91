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
    const auto found = table.signals.find(view.target.id);
    if (found == table.signals.end()) {
      is_any_free = true;
      return;
    }
    const RateLimit& limit = found->second.rate_limit;
    // The first request after a backoff ends the wait once it is answered.
    const TimePoint until =
        std::max(RateHeldUntil(limit, now), found->second.backoff.until);
    is_any_free = is_any_free || until <= now;
    outlook.release = std::min(outlook.release, until);
    if (!LimitInForce(limit, now)) {
      outlook.rate = std::nullopt;
    } else if (outlook.rate) {
      *outlook.rate += GrantedRate(limit, now);
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
