// The weight store's rate, shared by all groups: one keeper grants bytes.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::placement {

// What a group has asked for in its current plan and got so far.
struct StoreDemand {
  // Names the plan; a new one replaces the group's former demand.
  uint64_t plan = 0;
  uint64_t requested_bytes = 0;
  uint64_t granted_bytes = 0;
  // When the group asked last; a group that died stops asking.
  TimePoint last_request;
};

// The keeper's state. It starts without a byte to grant, so that a keeper
// that restarts again and again never grants beyond the rate.
struct StoreBudget {
  uint64_t bytes_per_second = 0;
  // What may be granted at once after a quiet time.
  uint64_t burst_bytes = 0;
  uint64_t available_bytes = 0;
  TimePoint updated;
  std::map<std::string, StoreDemand> demands;
};

// A group asks, or asks again: answers the bytes granted in total to this
// plan, so that a lost answer or a repeated question grants nothing twice.
// Bytes are shared evenly by the groups that want some, however often each
// asks; a group that stops asking gives up its demand after half a minute.
uint64_t RequestBytes(StoreBudget& budget,
                      const std::string& group,
                      uint64_t plan,
                      uint64_t requested_bytes,
                      TimePoint now);

}  // namespace bramleyspan::placement
