#include "LibScheduling/DenialCooldowns.h"

#include <algorithm>

namespace bramleyspan::scheduling {

void RecordDenial(DenialCooldowns& full,
                  const StreamClass& stream_class,
                  TimePoint until) {
  full.until[stream_class] = until;
}

bool is_denied(const DenialCooldowns& full,
               const StreamClass& stream_class,
               TimePoint now) {
  return std::ranges::any_of(full.until, [&](const auto& item) {
    return now < item.second && item.first.is_late == stream_class.is_late &&
           item.first.priority <= stream_class.priority;
  });
}

}  // namespace bramleyspan::scheduling
