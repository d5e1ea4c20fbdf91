// Repeats of a fleet in virtual time: gateways run the daemon's decision on
// repeats, exchange heartbeats that get lost, and are killed, stopped, added
// and cut off while targets fail.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "LibGateway/RepeatBudget.h"

namespace bramleyspan::gateway {

// What happens to some gateways at a moment, by their numbers.
struct FleetEvent {
  enum class Kind {
    kKilled,
    // A planned stop: the gateway gets no new requests from `at` on, and is
    // gone after `down`.
    kDrained,
    // A gateway that the fleet did not have before.
    kAdded,
    // No datagram passes between these and all others for `down`.
    kCutOff,
    // Nothing that these send arrives for `down`, though they hear all others.
    kUnheard,
  };
  Kind kind = Kind::kKilled;
  Duration at{};
  // For killed ones, until their successors start.
  Duration down = std::chrono::milliseconds(500);
  std::set<size_t> gateways;
};

struct SimulatedRepeats {
  size_t gateways = 7;
  // Requests a second at all gateways together, spread over those that run.
  double rate = 80;
  double ratio = 0.2;
  double slack = 90;
  // From `errors_from` on this part of all attempts fails.
  double failing = 0.8;
  Duration errors_from = std::chrono::seconds(20);
  Duration run_time = std::chrono::seconds(60);
  std::vector<FleetEvent> events;
  // No target takes repeats in this time after the errors began; those that
  // were allowed wait, and are sent at its end.
  Duration hold{};
  double loss = 0.03;
  uint64_t seed = 1;
};

struct RepeatsResult {
  size_t repeats = 0;
  size_t wanted = 0;
  // The window with the most repeats beyond what is allowed in it.
  size_t most = 0;
  double allowed_then = 0;
  Duration most_at{};
  // Windows that begin with a repeat and hold more than is allowed.
  size_t broken_windows = 0;
  // Part of the repeats allowed in the fullest window that was used.
  double used = 0;
};

RepeatsResult Play(const SimulatedRepeats& fleet);

}  // namespace bramleyspan::gateway
