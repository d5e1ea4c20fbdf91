#include "LibGateway/AnswerMemory.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// Part of the process's memory, as a divisor. A buffer that grows takes up to
// three times its bytes for a moment.
constexpr size_t kShareDivisor = 8;

}  // namespace

size_t AnswerMemoryOf(uint64_t process_bytes) {
  return static_cast<size_t>(process_bytes / kShareDivisor);
}

std::optional<uint64_t> RecordHeldBytes(AnswerMemory& memory,
                                        uint64_t request,
                                        size_t bytes) {
  const auto found = memory.by_request.find(request);
  if (found != memory.by_request.end()) {
    memory.held -= found->second;
    memory.by_request.erase(found);
  }
  if (bytes == 0) {
    return std::nullopt;
  }
  memory.held += bytes;
  memory.by_request[request] = bytes;
  if (memory.held <= memory.limit) {
    return std::nullopt;
  }
  return std::ranges::max_element(memory.by_request, std::less<>(),
                                  [](const auto& item) { return item.second; })
      ->first;
}

}  // namespace bramleyspan::gateway
