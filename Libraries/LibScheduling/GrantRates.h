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
  // Since when the group has been open.
  TimePoint open_since;
  // The oldest first.
  std::deque<GrantedPermit> recent;
};

// Forgets the permits granted before the group was re-formed.
void Reset(GrantRates& rates, TimePoint now);

void RecordGrant(GrantRates& rates,
                 const StreamClass& stream_class,
                 TimePoint now);

// Returns the rates of the last seconds, in the order of the classes. Nothing
// until the group has been open for that long: it first fills up, which says
// nothing of what it can serve.
std::optional<std::vector<ClassRate>> RatesOf(const GrantRates& rates,
                                              TimePoint now);

}  // namespace bramleyspan::scheduling
