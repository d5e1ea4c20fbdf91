// Shares out the descriptors of a process, and decides which connections are
// closed when callers want more than their share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::memory {

// Connections that each port of a process may have open. What is left is for
// the process's own: files, its store, peers, and a target for each request.
struct ConnectionShares {
  size_t callers = 0;
  size_t directory = 0;
  size_t internal = 0;
  size_t readiness = 0;
  size_t metrics = 0;
};

// Returns the shares of a process that may have so many descriptors and so much
// memory. Each connection takes some memory whatever comes on it.
ConnectionShares SharesOf(uint64_t descriptors, uint64_t process_bytes);

// What a connection is used for, in the order in which connections are closed
// for others.
enum class ConnectionUse {
  // Its last answer has ended; it only waits to be closed.
  kClosing,
  // No request has come.
  kIdle,
  // A request is coming.
  kComing,
  // A request is at work, or its answer is delivered.
  kBusy,
};

struct ConnectionView {
  uint64_t number = 0;
  ConnectionUse use = ConnectionUse::kIdle;
  // Since when, for a request the arrival of its first byte.
  TimePoint since;
};

// Returns the connections, `most` at most, that are closed so that others can
// be accepted: those used for least, the longest ones first. Requests that come
// are closed for others after kLongestComing only, busy ones never.
std::vector<uint64_t> ChooseClosed(std::vector<ConnectionView> connections,
                                   size_t most,
                                   TimePoint now);

inline constexpr Duration kLongestComing = std::chrono::seconds(1);

}  // namespace bramleyspan::memory
