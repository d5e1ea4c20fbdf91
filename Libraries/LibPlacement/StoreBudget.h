// Token bucket for the read rate of the weight store, shared by all groups. One
// allocator grants the bytes.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::placement {

// The bytes that a group requested for its current plan and those granted so
// far.
struct StoreDemand {
  // The id of the plan; a request for another plan replaces the demand.
  uint64_t plan = 0;
  uint64_t requested_bytes = 0;
  uint64_t granted_bytes = 0;
  // The time of the group's last request. A group that died stops requesting.
  TimePoint last_request;
};

// The allocator's state. It starts empty, so an allocator that restarts
// repeatedly never grants more than the rate.
struct StoreBudget {
  uint64_t bytes_per_second = 0;
  // The size of the bucket: bytes that may be granted at once after an idle
  // time.
  uint64_t burst_bytes = 0;
  uint64_t available_bytes = 0;
  TimePoint updated;
  std::map<std::string, StoreDemand> demands;
};

// Handles a request or its repetition: returns the total bytes granted to this
// plan, so that a lost response or a repeated request grants nothing twice.
// Bytes are shared evenly among the groups that need some, regardless of how
// often each requests. The demand of a group that stops requesting expires
// after 30 s.
uint64_t RequestBytes(StoreBudget& budget,
                      const std::string& group,
                      uint64_t plan,
                      uint64_t requested_bytes,
                      TimePoint now);

}  // namespace bramleyspan::placement
