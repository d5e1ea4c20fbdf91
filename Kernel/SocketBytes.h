// What the system holds of a connection. Where it can't tell, nothing.
#pragma once

#include <cstddef>

namespace bramleyspan {

// Returns the bytes that have come and were not read.
size_t UnreadBytes(int descriptor);

// Returns the bytes that were written and not acknowledged by the other side's
// machine.
size_t UnacknowledgedBytes(int descriptor);

}  // namespace bramleyspan
