// What bounds all callers of a port together, and who of them is turned away.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "LibMemory/Hold.h"

namespace bramleyspan::http {

// Why a request was refused, or its connection closed, before it reached a
// handler or after its answer had ended.
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

struct CallerGuard {
  // Counts what is held for callers. Null counts nothing.
  std::shared_ptr<memory::HoldTable> holds;
  size_t max_connections = std::numeric_limits<size_t>::max();
  // Called for each request that is refused, and each connection that is
  // closed, for a cause above.
  std::function<void(const TurnedAway&)> on_turned_away;
};

// Reports that the caller behind a connection is turned away.
void ReportTurnedAway(const CallerGuard& guard,
                      TurnedAwayCause cause,
                      int descriptor,
                      size_t bytes);

// Answers a connection that is closed without being served.
void SendUnavailable(int descriptor);

// Returns how many connections are closed at once for others, if a port has all
// that it may have.
size_t CountToClose(const CallerGuard& guard);

// What the system may hold of a connection that is not read. It counts towards
// the process's memory, and the system doubles it.
inline constexpr int kReceiveBytes = 32768;

}  // namespace bramleyspan::http
