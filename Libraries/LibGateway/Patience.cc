#include "LibGateway/Patience.h"

namespace bramleyspan::gateway {

namespace {

// Callers of one route differ by less than this part of their patience.
constexpr double kReturningPart = 0.8;
// The operator may give a route shorter limits; what was named before is
// forgotten after this time.
constexpr Duration kRemembered = std::chrono::seconds(60);

}  // namespace

bool NotePatience(Patience& patience, Duration left, TimePoint now) {
  if (left >= patience.longest || now - patience.longest_at > kRemembered) {
    patience = {.longest = left, .longest_at = now};
  }
  return left < kReturningPart * patience.longest;
}

}  // namespace bramleyspan::gateway
