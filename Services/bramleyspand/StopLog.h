// The log of a planned stop, the same for all roles.
#pragma once

#include <string_view>

#include "LibDrain/PlannedStop.h"

namespace bramleyspan {

// Logs an event of a stop with what the process is busy with.
void LogStop(std::string_view event,
             const drain::PlannedStop& stop,
             const drain::StopWork& work);

}  // namespace bramleyspan
