// What a request meets if all targets of its service hold requests back. It
// answers load that cannot be served: such a request is rejected at once if it
// cannot wait until its turn, and its caller is told when that is.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

struct HoldOutlook {
  // When the first of the targets takes a request again.
  TimePoint release;
  // Sum of the rates granted for the targets, in requests a second. None if one
  // of them names no limit.
  std::optional<double> rate;
};

// Returns nothing if some target of the service takes requests now, or if it
// has no targets.
std::optional<HoldOutlook> FindHoldOutlook(
    const TargetTable& table,
    std::string_view service,
    const std::set<std::string>& excluded,
    TimePoint now);

// Returns when a request can be sent that has `ahead` others before it at this
// gateway, one of `gateways` that share the rate evenly.
TimePoint ReleaseOf(const HoldOutlook& outlook, size_t ahead, size_t gateways);

}  // namespace bramleyspan::gateway
