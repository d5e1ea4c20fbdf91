#include "LibGateway/RepeatHistory.h"

namespace bramleyspan::gateway {

namespace {

constexpr size_t kMaxSlices = kSlicesPerWindow + kMarginSlices + 1;

RepeatSlice& SliceAt(RepeatHistory& history, TimePoint now) {
  const bool is_over = now - history.newest > history.slice * kMaxSlices;
  if (history.slices.empty() || is_over) {
    history.slices.assign(1, {});
    history.newest = now;
  }
  while (history.newest + history.slice <= now) {
    history.slices.push_front({});
    history.newest += history.slice;
  }
  if (history.slices.size() > kMaxSlices) {
    history.slices.resize(kMaxSlices);
  }
  return history.slices.front();
}

}  // namespace

void CountRequest(RepeatHistory& history, TimePoint now) {
  ++SliceAt(history, now).requests;
}

void CountRepeat(RepeatHistory& history, TimePoint now) {
  ++SliceAt(history, now).repeats;
}

uint32_t RequestsInWindow(const RepeatHistory& history, TimePoint now) {
  uint32_t requests = 0;
  TimePoint begin = history.newest;
  for (const RepeatSlice& slice : history.slices) {
    if (now - begin > kSlicesPerWindow * history.slice) {
      break;
    }
    requests += slice.requests;
    begin -= history.slice;
  }
  return requests;
}

uint32_t RepeatsInWindow(const RepeatHistory& history, TimePoint now) {
  uint32_t repeats = 0;
  TimePoint end = history.newest + history.slice;
  for (const RepeatSlice& slice : history.slices) {
    if (now - end > (kSlicesPerWindow + kMarginSlices) * history.slice) {
      break;
    }
    repeats += slice.repeats;
    end -= history.slice;
  }
  return repeats;
}

}  // namespace bramleyspan::gateway
