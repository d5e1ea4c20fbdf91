#include "LibGateway/RepeatBudget.h"

namespace bramleyspan::gateway {

namespace {

// The fraction of the share that is used. Repeats arrive at targets a little
// later than they are counted here, and further gateways may have started since
// the others were counted.
constexpr double kUsableFraction = 0.8;

void DropBefore(std::deque<TimePoint>& times, TimePoint first) {
  while (!times.empty() && times.front() < first) {
    times.pop_front();
  }
}

}  // namespace

void RecordRequest(RepeatBudget& budget,
                   const std::string& service,
                   TimePoint now) {
  auto& history = budget.services[service];
  DropBefore(history.requests, now - budget.settings.window);
  history.requests.push_back(now);
}

RepeatUse FindRepeatUse(RepeatBudget& budget,
                        const std::string& service,
                        size_t gateways,
                        TimePoint now) {
  auto& history = budget.services[service];
  DropBefore(history.requests, now - budget.settings.window);
  DropBefore(history.repeats,
             now - budget.settings.window - std::chrono::seconds(1));
  return {.requests = history.requests.size(),
          .repeats = history.repeats.size(),
          .allowed = kUsableFraction *
                     (budget.settings.ratio *
                          static_cast<double>(history.requests.size()) +
                      budget.settings.slack / static_cast<double>(gateways))};
}

bool TakeRepeat(RepeatBudget& budget,
                const std::string& service,
                size_t gateways,
                TimePoint now) {
  const RepeatUse use = FindRepeatUse(budget, service, gateways, now);
  if (static_cast<double>(use.repeats) + 1 > use.allowed) {
    return false;
  }
  budget.services[service].repeats.push_back(now);
  return true;
}

}  // namespace bramleyspan::gateway
