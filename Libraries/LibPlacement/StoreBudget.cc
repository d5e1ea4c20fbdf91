#include "LibPlacement/StoreBudget.h"

#include <algorithm>
#include <vector>

namespace bramleyspan::placement {

namespace {

// A group that has not asked for this long is not waited for.
constexpr Duration kDemandLifetime = std::chrono::seconds(30);
constexpr uint64_t kMicrosecondsPerSecond = 1'000'000;

void SaveUp(StoreBudget& budget, TimePoint now) {
  if (budget.updated == TimePoint{}) {
    budget.updated = now;
    return;
  }
  const Duration elapsed = std::max(now - budget.updated, Duration{});
  const uint64_t seconds_to_fill =
      budget.most_saved_bytes / std::max<uint64_t>(budget.bytes_per_second, 1);
  // Beyond the time that fills the budget the product could overflow.
  const bool is_full = elapsed > std::chrono::seconds(seconds_to_fill + 1);
  const uint64_t earned = is_full ? budget.most_saved_bytes
                                  : budget.bytes_per_second *
                                        static_cast<uint64_t>(elapsed.count()) /
                                        kMicrosecondsPerSecond;
  budget.updated = std::max(budget.updated, now);
  budget.saved_bytes =
      std::min(budget.most_saved_bytes, budget.saved_bytes + earned);
}

uint64_t StillWanted(const StoreDemand& demand) {
  return demand.wanted_bytes -
         std::min(demand.wanted_bytes, demand.granted_bytes);
}

// Hands out what is saved in even parts, again and again as long as a group
// that wanted less than its part left some over.
void ShareOut(StoreBudget& budget) {
  while (true) {
    std::vector<StoreDemand*> waiting;
    for (auto& [group, demand] : budget.demands) {
      if (StillWanted(demand) > 0) {
        waiting.push_back(&demand);
      }
    }
    if (waiting.empty() || budget.saved_bytes < waiting.size()) {
      return;
    }
    const uint64_t part = budget.saved_bytes / waiting.size();
    for (StoreDemand* demand : waiting) {
      const uint64_t granted = std::min(part, StillWanted(*demand));
      demand->granted_bytes += granted;
      budget.saved_bytes -= granted;
    }
  }
}

}  // namespace

uint64_t AskForBytes(StoreBudget& budget,
                     const std::string& group,
                     uint64_t plan,
                     uint64_t wanted_bytes,
                     TimePoint now) {
  std::erase_if(budget.demands, [&](const auto& item) {
    return now - item.second.asked > kDemandLifetime;
  });
  SaveUp(budget, now);
  // What was earned until now belongs to those who waited for it, so that
  // asking more often than others brings nothing.
  ShareOut(budget);
  StoreDemand& demand = budget.demands[group];
  if (demand.plan != plan) {
    demand = StoreDemand{};
  }
  demand.plan = plan;
  demand.wanted_bytes = wanted_bytes;
  demand.asked = now;
  ShareOut(budget);
  return demand.granted_bytes;
}

}  // namespace bramleyspan::placement
