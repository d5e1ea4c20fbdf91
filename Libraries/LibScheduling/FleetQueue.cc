#include "LibScheduling/FleetQueue.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::scheduling {

namespace {

// A gateway with waiting streams probes a few ranks every few tens of
// milliseconds, so that each agent hears of it within this time.
constexpr Duration kLifetime = std::chrono::milliseconds(300);
constexpr size_t kMaxGateways = 512;

}  // namespace

void RecordQueue(FleetQueue& queue,
                 const std::string& gateway,
                 std::vector<ClassCount> waiting,
                 TimePoint now) {
  if (queue.gateways.size() >= kMaxGateways) {
    std::erase_if(queue.gateways, [now](const auto& item) {
      return now - item.second.received_at > kLifetime;
    });
  }
  if (queue.gateways.size() < kMaxGateways ||
      queue.gateways.contains(gateway)) {
    queue.gateways[gateway] = {.waiting = std::move(waiting),
                               .received_at = now};
  }
}

std::vector<ClassCount> SumOf(const FleetQueue& queue, TimePoint now) {
  std::map<StreamClass, uint32_t> sums;
  for (const auto& [gateway, known] : queue.gateways) {
    if (now - known.received_at > kLifetime) {
      continue;
    }
    for (const ClassCount& waiting : known.waiting) {
      sums[waiting.stream_class] += waiting.count;
    }
  }
  std::vector<ClassCount> counts;
  counts.reserve(sums.size());
  for (const auto& [stream_class, count] : sums) {
    counts.push_back({.stream_class = stream_class, .count = count});
  }
  return counts;
}

bool has_less_urgent(const FleetQueue& queue, int32_t priority, TimePoint now) {
  return std::ranges::any_of(queue.gateways, [&](const auto& item) {
    const auto& [gateway, known] = item;
    return now - known.received_at <= kLifetime &&
           std::ranges::any_of(known.waiting, [&](const ClassCount& waiting) {
             return waiting.stream_class.priority > priority;
           });
  });
}

}  // namespace bramleyspan::scheduling
