// The rank's side of a map switch, at the agent beside each engine: follows
// the owner's orders and brings its engine nearer to them, one order at a time.
#pragma once

#include <optional>
#include <vector>

#include "LibExpertMap/Orders.h"

namespace bramleyspan::expertmap {

// What a rank's agent knows. It keeps nothing over a restart: what counts is
// in the engine, and is read back before the first order.
struct MapRank {
  std::string group;
  Rank rank = 0;
  // The newest order heard; its incarnation fences older owners off.
  std::optional<MapOrder> wanted;
  // What the engine holds, as of its last answer.
  std::optional<EngineStatus> engine;
  // An order is under way; the next one waits for its end.
  bool is_waiting = false;
  // The engine refused the last order.
  bool is_refused = false;
  uint64_t stale_orders = 0;
};

// Effects that the caller performs.
struct RankEffects {
  // Answered by HandleEngineStatus or HandleEngineLost.
  std::optional<EngineOrder> engine_order;
  // To whoever owns the map.
  std::optional<MapReport> report;
};

// The agent has started. Nothing but a read is sent before the engine has
// answered one, since a predecessor may have changed it.
RankEffects StartRank(MapRank& rank);

// The owner wants something. Refused if it is not newer than what was heard.
RankEffects HandleMapOrder(MapRank& rank, MapOrder order);

// The engine answered an order; `is_refused` if it did not obey.
RankEffects HandleEngineStatus(MapRank& rank,
                               EngineStatus status,
                               bool is_refused);

// The engine's answer is lost, so it is not known whether it obeyed.
RankEffects HandleEngineLost(MapRank& rank);

// Reads the engine again if nothing is under way.
RankEffects HandleRankTick(MapRank& rank);

}  // namespace bramleyspan::expertmap
