// The bytes of answers that wait to be written to a connection, or are being
// written.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/H2o.h"

namespace bramleyspan::http {

// Bytes in the order in which they are written. A long text is kept as it came,
// not copied.
struct OutgoingBytes {
  std::vector<std::string> waiting;
  std::vector<std::string> in_flight;
  size_t waiting_bytes = 0;
  size_t in_flight_bytes = 0;

  size_t bytes() const { return this->waiting_bytes + this->in_flight_bytes; }
};

void Append(OutgoingBytes& outgoing, std::string bytes);

// Takes what waits as that which is written next, and returns where it lies.
std::vector<h2o_iovec_t> TakeNext(OutgoingBytes& outgoing);

// Frees what was written.
void DropWritten(OutgoingBytes& outgoing);

}  // namespace bramleyspan::http
