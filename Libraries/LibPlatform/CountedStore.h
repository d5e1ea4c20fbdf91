// A store whose calls are counted: each is paid for, and an outage shows in
// their outcomes first.
#pragma once

#include <functional>
#include <string_view>

#include "LibPlatform/Store.h"

namespace bramleyspan::platform {

// Hears of each call as it ends: its name, how it ended and how long it took.
using OnStoreCall = std::function<
    void(std::string_view call, std::string_view outcome, Duration took)>;

// The same store, counted.
Store CountCalls(const Store& store, const OnStoreCall& on_call);

}  // namespace bramleyspan::platform
