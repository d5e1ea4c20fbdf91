// The order in which streams of a service get permits, whichever gateway they
// wait at: by priority, and of one priority those that can still be in time
// first.
#pragma once

#include <compare>
#include <cstdint>

namespace bramleyspan::scheduling {

struct StreamClass {
  // A lower priority is more urgent.
  int32_t priority = 0;
  // Whether the stream misses its latency objective in any case.
  bool is_late = false;

  auto operator<=>(const StreamClass&) const = default;
};

// Number of streams of a class that wait for permits.
struct ClassCount {
  StreamClass stream_class;
  uint32_t count = 0;
};

// Permits of a class granted a second.
struct ClassRate {
  StreamClass stream_class;
  double per_second = 0;
};

}  // namespace bramleyspan::scheduling
