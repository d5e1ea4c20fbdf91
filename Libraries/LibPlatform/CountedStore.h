// A store that reports its calls for metrics. Each call is paid for, and an
// outage of the store shows first in their outcomes.
#pragma once

#include <functional>
#include <string_view>

#include "LibPlatform/Store.h"

namespace bramleyspan::platform {

// Called at the end of each call, with the call's name, its outcome and its
// duration.
using OnStoreCall = std::function<
    void(std::string_view call, std::string_view outcome, Duration took)>;

// Returns the same store with each call reported to `on_call`.
Store CountCalls(const Store& store, const OnStoreCall& on_call);

}  // namespace bramleyspan::platform
