// The classes of a service for which its agents had no permit a moment ago, so
// that a gateway does not probe them for each waiting stream.
#pragma once

#include <map>

#include "Kernel/Time.h"
#include "LibScheduling/StreamClass.h"

namespace bramleyspan::scheduling {

struct DenialCooldowns {
  // Until when a class counts as denied.
  std::map<StreamClass, TimePoint> until;
};

void RecordDenial(DenialCooldowns& full,
                  const StreamClass& stream_class,
                  TimePoint until);

// Whether the class was denied, or one of the same lateness that comes before
// it.
bool is_denied(const DenialCooldowns& full,
               const StreamClass& stream_class,
               TimePoint now);

}  // namespace bramleyspan::scheduling
