// Simulates the gateways and ranks of one service in virtual time. A gateway
// knows its own waiting streams and what agents tell it, in datagrams that take
// 1 to 2 ms and may be lost. The libraries decide; the simulation calls them as
// Gateway/ForwardingPermits, Gateway/PermitRequests and Rank/PermitOffers do.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibAdmission/RankAdmission.h"
#include "LibGateway/Offers.h"
#include "LibGateway/Waiting.h"
#include "LibScheduling/DenialCooldowns.h"
#include "LibScheduling/DeniedRequests.h"
#include "LibScheduling/FleetQueue.h"
#include "LibScheduling/Forecast.h"
#include "LibScheduling/GrantRates.h"

namespace bramleyspan::scheduling {

inline constexpr size_t kPriorities = 3;

struct FleetSettings {
  size_t gateways = 40;
  size_t ranks = 63;
  // The fraction of datagrams that are lost.
  double loss = 0;
  // Whether denied requests hold less urgent ones back.
  bool holds_back = true;
};

struct Caller {
  size_t priority = 0;
  TimePoint requested_at;
  bool is_retry = false;
  // The present attempt, and its stream once it has a permit.
  size_t gateway = 0;
  gateway::Wait wait;
  bool is_probing = false;
  size_t rank = 0;
  std::optional<TimePoint> started;
  std::optional<TimePoint> refused_by_forecast;
};

struct SimulatedGateway {
  bool is_alive = true;
  std::vector<Caller*> waiting;
  // Ranks of the permits taken, and when.
  std::vector<std::pair<std::string, TimePoint>> taken;
  DenialCooldowns full;
  Forecast forecast;
};

struct SimulatedRank {
  bool has_agent = true;
  admission::RankAdmission admission;
  DeniedRequests denied;
  FleetQueue queue;
  GrantRates rates;
};

struct SimulatedFleet {
  SimulatedFleet(const FleetSettings& settings, uint64_t seed);
  // Events refer to the fleet.
  SimulatedFleet(const SimulatedFleet&) = delete;

  FleetSettings settings;
  std::mt19937_64 random;
  TimePoint now{};
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<SimulatedGateway> gateways;
  std::vector<SimulatedRank> ranks;
  std::deque<Caller> callers;
  std::vector<Caller*> running;
  // Factors on the usual rates of the priorities.
  std::array<double, kPriorities> load{1, 1, 1};
  uint64_t epoch = 1;
  bool is_open = true;
};

void RunFor(SimulatedFleet& fleet, Duration time);

// Ends a gateway: callers that wait there retry at others.
void EndGateway(SimulatedFleet& fleet, size_t index);

// Re-forms the group, which opens after `time`: its streams end.
void ReformGroup(SimulatedFleet& fleet, Duration time);

// Returns how many streams the ranks can serve in a second.
double PermitsPerSecond(const SimulatedFleet& fleet);

// Fractions of callers that were served, and in time, and of the value that
// they could earn.
struct Outcome {
  double served = 0;
  double in_time = 0;
  double earned = 0;
};

// Returns the outcome of the callers that first came from `from` to `to`.
Outcome OutcomeOf(const SimulatedFleet& fleet,
                  size_t priority,
                  TimePoint from,
                  TimePoint to);

}  // namespace bramleyspan::scheduling
