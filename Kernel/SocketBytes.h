// What the system and h2o hold of a connection, and whether it is still open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Kernel/H2o.h"

namespace bramleyspan {

// Returns the bytes that have come and were not read.
size_t UnreadBytes(int descriptor);

// Returns the bytes that were written and not acknowledged by the other side's
// machine.
size_t UnacknowledgedBytes(int descriptor);

// Returns how many bytes the other side's machine has acknowledged so far.
std::optional<uint64_t> AcknowledgedBytes(int descriptor);

// Drops the first `bytes` that were read from a socket. h2o keeps a buffer as
// large as it once was; one that is empty is freed if it is large.
void ConsumeInput(h2o_socket_t* socket, size_t bytes);

// Whether the other side has closed the connection, also where bytes that came
// before have not been read.
bool has_peer_closed(int descriptor);

// Whether the system has given the connection up, as after a reset. It tells so
// as long as the connection is not closed here, also if a read or a write has
// reported the failure.
bool has_connection_failed(int descriptor);

}  // namespace bramleyspan
