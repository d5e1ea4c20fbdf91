// What callers of an Ingress may send, and what bounds all of them together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Time.h"
#include "LibMemory/Hold.h"

namespace bramleyspan::http {

// Limits on the size and duration of requests and on buffered answers.
struct IngressLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4 << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Bytes of an answer that may be buffered for a slow caller. Beyond this the
  // connection is closed.
  size_t max_pending_bytes = 1 << 20;
};

// Why a request was refused, or its connection closed, by the Ingress itself.
enum class TurnedAwayCause {
  // There was no room for the request.
  kNoRoom,
  // The request stopped coming, and others needed its room.
  kStalled,
  // The answer was not taken, and others needed its room or it took too long.
  kAnswerNotTaken,
  // More connections are open than the port may have.
  kTooManyConnections,
  kHeadTooLarge,
  kBodyTooLarge,
  kTooSlow,
  kMalformed,
};

// Returns the stable name of a cause, such as "no_room".
std::string_view NameOf(TurnedAwayCause cause);

struct TurnedAway {
  TurnedAwayCause cause = TurnedAwayCause::kNoRoom;
  // IP number of the caller.
  std::string peer_ip;
  // Bytes that were held for the caller.
  size_t bytes = 0;
};

// What bounds all callers of an Ingress together.
struct IngressGuard {
  // Counts what is held for callers. Null counts nothing.
  std::shared_ptr<memory::HoldTable> holds;
  size_t max_connections = std::numeric_limits<size_t>::max();
  // Called for each request that is refused, and each connection that is
  // closed, for a cause above.
  std::function<void(const TurnedAway&)> on_turned_away;
};

}  // namespace bramleyspan::http
