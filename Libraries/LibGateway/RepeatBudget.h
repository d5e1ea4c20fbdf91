// How often requests may be sent once more. The budget belongs to all entries
// together, in any span of its window; each entry takes the share that it is
// sure to have without asking the others.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

struct RepeatBudgetSettings {
  // Repeats allowed for each request.
  double ratio = 0.1;
  // Repeats allowed besides, by all entries together.
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

struct RepeatBudget {
  RepeatBudgetSettings settings;
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };
  std::map<std::string, History> services;
};

// A caller's request for a service has come.
void RecordRequest(RepeatBudget& budget,
                   const std::string& service,
                   TimePoint now);

// Takes one repeat if this entry's share, one of `entries`, has one left.
bool TakeRepeat(RepeatBudget& budget,
                const std::string& service,
                size_t gateways,
                TimePoint now);

}  // namespace bramleyspan::gateway
