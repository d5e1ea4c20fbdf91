// The rate at which a rank grants permits, by class.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "Kernel/Time.h"
#include "LibScheduling/StreamClass.h"

namespace bramleyspan::scheduling {

struct GrantedPermit {
  StreamClass stream_class;
  TimePoint at;
};

struct GrantRates {
  // Since when the group has been open; nothing while it is closed.
  std::optional<TimePoint> open_since;
  // The oldest first.
  std::deque<GrantedPermit> recent;
};

// Forgets the permits granted before the group was closed or re-formed. Rates
// that shrink while it is closed would say that it serves nobody.
void HandleClosed(GrantRates& rates);
void HandleOpened(GrantRates& rates, TimePoint now);

void RecordGrant(GrantRates& rates,
                 const StreamClass& stream_class,
                 TimePoint now);

// Returns the rates of the last seconds, in the order of the classes. Nothing
// while the group is closed, and until it has been open for that long: it first
// fills up, which says nothing of what it can serve.
std::optional<std::vector<ClassRate>> RatesOf(const GrantRates& rates,
                                              TimePoint now);

}  // namespace bramleyspan::scheduling
