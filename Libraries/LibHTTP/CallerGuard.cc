#include "LibHTTP/CallerGuard.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "LibHTTP/AnswerText.h"

namespace bramleyspan::http {

namespace {

// The part of a port's connections that is closed at once for others, so that a
// flood of connections costs few searches.
constexpr size_t kClosedDivisor = 16;
constexpr int kUnavailable = 503;

// Returns an empty text if the system can't tell.
std::string PeerIpOf(int descriptor) {
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) !=
      0) {
    return "";
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  return inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
}

}  // namespace

std::string_view NameOf(TurnedAwayCause cause) {
  switch (cause) {
    case TurnedAwayCause::kNoRoom:
      return "no_room";
    case TurnedAwayCause::kStalled:
      return "stalled";
    case TurnedAwayCause::kAnswerNotTaken:
      return "answer_not_taken";
    case TurnedAwayCause::kTooManyConnections:
      return "too_many_connections";
    case TurnedAwayCause::kHeadTooLarge:
      return "head_too_large";
    case TurnedAwayCause::kBodyTooLarge:
      return "body_too_large";
    case TurnedAwayCause::kTooSlow:
      return "too_slow";
    case TurnedAwayCause::kMalformed:
      return "malformed";
  }
  return "malformed";
}

void ReportTurnedAway(const CallerGuard& guard,
                      TurnedAwayCause cause,
                      int descriptor,
                      size_t bytes) {
  if (guard.on_turned_away) {
    guard.on_turned_away(
        {.cause = cause, .peer_ip = PeerIpOf(descriptor), .bytes = bytes});
  }
}

void SendUnavailable(int descriptor) {
  const std::string answer = SerializeHead(kUnavailable, {{"retry-after", "1"}},
                                           "content-length: 0\r\n", true);
  send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

size_t CountToClose(const CallerGuard& guard) {
  return std::max<size_t>(1, guard.max_connections / kClosedDivisor);
}

}  // namespace bramleyspan::http
