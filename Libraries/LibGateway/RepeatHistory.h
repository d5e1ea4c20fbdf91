// Requests and repeats of one service at one incarnation of a gateway, in
// slices of time. Slices can be sent to other processes as ages.
#pragma once

#include <cstdint>
#include <deque>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// Slices in one window of the budget.
inline constexpr int kSlicesPerWindow = 20;

// Repeats count for so many slices longer than the window: they reach their
// targets a little after they are counted, and ages are not exact.
inline constexpr int kMarginSlices = 2;

struct RepeatSlice {
  uint32_t requests = 0;
  uint32_t repeats = 0;
};

struct RepeatHistory {
  Duration slice{};
  // When the newest slice began.
  TimePoint newest;
  // The newest first.
  std::deque<RepeatSlice> slices;
};

void CountRequest(RepeatHistory& history, TimePoint now);
void CountRepeat(RepeatHistory& history, TimePoint now);

// Returns the requests of the window that ends now, without the slice that the
// window only holds in part.
uint32_t RequestsInWindow(const RepeatHistory& history, TimePoint now);

// Returns the repeats that may lie in the window that ends now.
uint32_t RepeatsInWindow(const RepeatHistory& history, TimePoint now);

}  // namespace bramleyspan::gateway
