#include "LibMemory/Connections.h"

#include <algorithm>
#include <tuple>

namespace bramleyspan::memory {

namespace {

// Descriptors that a platform keeps for files, where there are many.
constexpr uint64_t kFileDescriptors = 200;
constexpr uint64_t kManyDescriptors = 1000;
// Memory of a connection: its buffers, its socket and what the system holds.
constexpr uint64_t kConnectionBytes = 16384;
constexpr uint64_t kMemoryDivisor = 4;
constexpr size_t kMinShare = 4;

size_t ShareOf(uint64_t descriptors, uint64_t parts, uint64_t of) {
  return std::max<size_t>(kMinShare, descriptors * parts / of);
}

}  // namespace

ConnectionShares SharesOf(uint64_t descriptors, uint64_t process_bytes) {
  const uint64_t sockets = descriptors > kManyDescriptors
                               ? descriptors - kFileDescriptors
                               : descriptors;
  const auto by_memory =
      static_cast<size_t>(process_bytes / kMemoryDivisor / kConnectionBytes);
  return {.callers = std::min(ShareOf(sockets, 3, 8), by_memory),
          .directory = ShareOf(sockets, 1, 16),
          .internal = ShareOf(sockets, 1, 16),
          .readiness = ShareOf(sockets, 1, 64),
          .metrics = ShareOf(sockets, 1, 64)};
}

std::vector<uint64_t> ChooseClosed(std::vector<ConnectionView> connections,
                                   size_t most,
                                   TimePoint now) {
  std::erase_if(connections, [now](const ConnectionView& connection) {
    return connection.use == ConnectionUse::kBusy ||
           (connection.use == ConnectionUse::kComing &&
            now - connection.since < kLongestComing);
  });
  std::ranges::sort(
      connections, [](const ConnectionView& left, const ConnectionView& right) {
        return std::tuple(left.use, left.since, left.number) <
               std::tuple(right.use, right.since, right.number);
      });
  std::vector<uint64_t> closed;
  for (const ConnectionView& connection : connections) {
    if (closed.size() == most) {
      break;
    }
    closed.push_back(connection.number);
  }
  return closed;
}

}  // namespace bramleyspan::memory
