#include "LibScheduling/GrantRates.h"

#include <map>

namespace bramleyspan::scheduling {

namespace {

// About the lifetime of a stream: a shorter window would take a pause of all
// passes for a loss of capacity.
constexpr Duration kWindow = std::chrono::seconds(2);
constexpr size_t kMaxPermits = 1024;

}  // namespace

void HandleClosed(GrantRates& rates) {
  rates.open_since.reset();
  rates.recent.clear();
}

void HandleOpened(GrantRates& rates, TimePoint now) {
  rates.open_since = now;
  rates.recent.clear();
}

void RecordGrant(GrantRates& rates,
                 const StreamClass& stream_class,
                 TimePoint now) {
  while (!rates.recent.empty() && (now - rates.recent.front().at > kWindow ||
                                   rates.recent.size() >= kMaxPermits)) {
    rates.recent.pop_front();
  }
  rates.recent.push_back({.stream_class = stream_class, .at = now});
}

std::optional<std::vector<ClassRate>> RatesOf(const GrantRates& rates,
                                              TimePoint now) {
  if (!rates.open_since || now - *rates.open_since < kWindow) {
    return std::nullopt;
  }
  std::map<StreamClass, int> counts;
  for (const GrantedPermit& permit : rates.recent) {
    if (now - permit.at <= kWindow) {
      ++counts[permit.stream_class];
    }
  }
  std::vector<ClassRate> result;
  result.reserve(counts.size());
  const double window = std::chrono::duration<double>(kWindow).count();
  for (const auto& [stream_class, count] : counts) {
    result.push_back(
        {.stream_class = stream_class, .per_second = count / window});
  }
  return result;
}

}  // namespace bramleyspan::scheduling
