// Limits repeats: requests that are sent to a further target after an attempt
// failed. The budget covers all gateways together over any span of its window;
// each gateway uses only its own share, without coordination.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

struct RepeatBudgetSettings {
  // Repeats allowed per request.
  double ratio = 0.1;
  // Repeats allowed in addition, for all gateways together.
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

// Records a request of a caller for the service.
void RecordRequest(RepeatBudget& budget,
                   const std::string& service,
                   TimePoint now);

// What this gateway has used of its share of the budget of a service.
struct RepeatUse {
  size_t requests = 0;
  size_t repeats = 0;
  // Repeats that the share allows with these requests.
  double allowed = 0;
};

RepeatUse FindRepeatUse(RepeatBudget& budget,
                        const std::string& service,
                        size_t gateways,
                        TimePoint now);

// Takes one repeat from this gateway's share of the budget, which is one of
// `gateways` shares. Returns false if none is left.
bool TakeRepeat(RepeatBudget& budget,
                const std::string& service,
                size_t gateways,
                TimePoint now);

}  // namespace bramleyspan::gateway
