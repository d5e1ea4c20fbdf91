// Rank side of a map switch, in the agent beside each engine: applies the
// owner's orders to the engine, one engine order at a time.
#pragma once

#include <optional>
#include <vector>

#include "LibExpertMap/Orders.h"

namespace bramleyspan::expertmap {

// State of a rank's agent. Nothing is kept over a restart: the relevant state
// is in the engine and is read before the first order.
struct MapRank {
  std::string group;
  Rank rank = 0;
  // The newest order received; its incarnation fences off older owners.
  std::optional<MapOrder> latest_order;
  // State of the engine, as of its last answer.
  std::optional<EngineStatus> engine;
  // An engine order is in flight; the next one waits for its end.
  bool is_order_in_flight = false;
  // The engine refused the last order.
  bool is_refused = false;
  uint64_t stale_order_count = 0;
};

// Effects that the caller performs.
struct RankEffects {
  // Answered by HandleEngineStatus or HandleEngineLost.
  std::optional<EngineOrder> engine_order;
  // Sent to the owner of the map.
  std::optional<MapReport> report;
};

// Starts the agent. Only reads are sent until the engine has answered one,
// since a previous agent process may have changed it.
RankEffects StartRank(MapRank& rank);

// Handles an order of the owner. It is rejected unless it is newer than all
// orders received.
RankEffects HandleMapOrder(MapRank& rank, MapOrder order);

// Handles the engine's answer to an order; `is_refused` if the engine did not
// apply it.
RankEffects HandleEngineStatus(MapRank& rank,
                               EngineStatus status,
                               bool is_refused);

// Handles a lost answer of the engine: it is unknown whether the order was
// applied.
RankEffects HandleEngineLost(MapRank& rank);

// Reads the engine again if no order is in flight.
RankEffects HandleRankTick(MapRank& rank);

}  // namespace bramleyspan::expertmap
