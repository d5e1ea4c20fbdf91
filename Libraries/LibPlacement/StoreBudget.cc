#include "LibPlacement/StoreBudget.h"

#include <algorithm>
#include <vector>

namespace bramleyspan::placement {

namespace {

// A demand without a request for this long is dropped.
constexpr Duration kDemandLifetime = std::chrono::seconds(30);
constexpr uint64_t kMicrosecondsPerSecond = 1'000'000;

void Refill(StoreBudget& budget, TimePoint now) {
  if (budget.updated == TimePoint{}) {
    budget.updated = now;
    return;
  }
  const Duration elapsed = std::max(now - budget.updated, Duration{});
  const uint64_t seconds_to_fill =
      budget.burst_bytes / std::max<uint64_t>(budget.bytes_per_second, 1);
  // Above the time that fills the bucket the product below could overflow.
  const bool is_full = elapsed > std::chrono::seconds(seconds_to_fill + 1);
  const uint64_t added = is_full ? budget.burst_bytes
                                 : budget.bytes_per_second *
                                       static_cast<uint64_t>(elapsed.count()) /
                                       kMicrosecondsPerSecond;
  budget.updated = std::max(budget.updated, now);
  budget.available_bytes =
      std::min(budget.burst_bytes, budget.available_bytes + added);
}

uint64_t RemainingBytes(const StoreDemand& demand) {
  return demand.requested_bytes -
         std::min(demand.requested_bytes, demand.granted_bytes);
}

// Grants the available bytes in equal shares. Repeats while groups that needed
// less than their share leave some over.
void GrantEvenly(StoreBudget& budget) {
  while (true) {
    std::vector<StoreDemand*> waiting;
    for (auto& [group, demand] : budget.demands) {
      if (RemainingBytes(demand) > 0) {
        waiting.push_back(&demand);
      }
    }
    if (waiting.empty() || budget.available_bytes < waiting.size()) {
      return;
    }
    const uint64_t share = budget.available_bytes / waiting.size();
    for (StoreDemand* demand : waiting) {
      const uint64_t granted = std::min(share, RemainingBytes(*demand));
      demand->granted_bytes += granted;
      budget.available_bytes -= granted;
    }
  }
}

}  // namespace

uint64_t RequestBytes(StoreBudget& budget,
                      const std::string& group,
                      uint64_t plan,
                      uint64_t requested_bytes,
                      TimePoint now) {
  std::erase_if(budget.demands, [&](const auto& item) {
    return now - item.second.last_request > kDemandLifetime;
  });
  Refill(budget, now);
  // Bytes that accrued before this request belong to the demands that were
  // waiting, so frequent requests gain nothing.
  GrantEvenly(budget);
  StoreDemand& demand = budget.demands[group];
  if (demand.plan != plan) {
    demand = StoreDemand{};
  }
  demand.plan = plan;
  demand.requested_bytes = requested_bytes;
  demand.last_request = now;
  GrantEvenly(budget);
  return demand.granted_bytes;
}

}  // namespace bramleyspan::placement
