// Bounds the memory that answers take while a gateway reads them. A target may
// send bytes without end; which answer has no end is not known, so that the one
// that takes the most is cut when all together take too much.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace bramleyspan::gateway {

struct AnswerMemory {
  // Bytes that all answers may take together.
  size_t limit = 0;
  size_t held = 0;
  // By number of the request.
  std::map<uint64_t, size_t> by_request;
};

// Returns the limit for a process that may take so much memory in all.
size_t AnswerMemoryOf(uint64_t process_bytes);

// Records how much the answer to a request takes now; 0 if it is done. Returns
// the request whose answer is to be cut.
std::optional<uint64_t> RecordHeldBytes(AnswerMemory& memory,
                                        uint64_t request,
                                        size_t bytes);

}  // namespace bramleyspan::gateway
