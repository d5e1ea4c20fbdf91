#include "LibExpertMap/MapRank.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::expertmap {

namespace {

// Returns loaded weights that neither the owner nor the engine's schedule
// needs, such as those that a failed owner had loaded and never switched to.
std::optional<MapVersion> FindUnused(const MapOrder& latest_order,
                                     const EngineStatus& engine) {
  // Until the newest map is in use the engine also needs the previous one.
  if (engine.step < engine.from_step || !latest_order.next.has_value()) {
    return std::nullopt;
  }
  for (const MapVersion version : engine.loaded) {
    if (version != engine.version && version != latest_order.next->version) {
      return version;
    }
  }
  return std::nullopt;
}

bool is_loaded_or_loading(const EngineStatus& engine, MapVersion version) {
  return engine.loaded.contains(version) || engine.loading.contains(version);
}

// Returns the next order that brings the engine closer to the owner's order.
std::optional<EngineOrder> ChooseOrder(const MapOrder& latest_order,
                                       const EngineStatus& engine) {
  if (latest_order.decision) {
    const Decision& decision = *latest_order.decision;
    if (engine.version > decision.map.version) {
      // The engine applied a later decision than this owner has. Without this
      // check a late order of a failed owner would restore the old map.
      return std::nullopt;
    }
    if (!is_loaded_or_loading(engine, decision.map.version)) {
      return LoadWeights{decision.map};
    }
    if (engine.version < decision.map.version) {
      if (!engine.loaded.contains(decision.map.version)) {
        return std::nullopt;
      }
      return SetMap{decision.map.version, decision.from_step};
    }
    // Only an engine that has scheduled the decided map gets grants. A rank
    // that missed the switch would otherwise run past from_step with the old
    // map while the others use the new one.
    if (latest_order.granted_until > engine.granted_until) {
      return GrantSteps{latest_order.granted_until};
    }
  }
  if (latest_order.next &&
      !is_loaded_or_loading(engine, latest_order.next->version)) {
    return LoadWeights{*latest_order.next};
  }
  if (const auto unused = FindUnused(latest_order, engine)) {
    return DropWeights{*unused};
  }
  return std::nullopt;
}

RankEffects SendNext(MapRank& rank, std::optional<EngineOrder> order) {
  RankEffects effects;
  if (!rank.is_order_in_flight && order) {
    rank.is_order_in_flight = true;
    effects.engine_order = std::move(order);
  }
  return effects;
}

std::optional<EngineOrder> NextOrder(const MapRank& rank) {
  if (!rank.engine) {
    return ReadStatus{};
  }
  return rank.latest_order ? ChooseOrder(*rank.latest_order, *rank.engine)
                           : std::nullopt;
}

std::optional<MapReport> MakeReport(const MapRank& rank) {
  // Only a state that was read after the owner's order may answer it.
  if (!rank.latest_order || !rank.engine) {
    return std::nullopt;
  }
  return MapReport{rank.group, rank.rank, rank.latest_order->incarnation,
                   rank.latest_order->sequence, *rank.engine};
}

// A frozen or replaced owner may continue to send, and a broken connection may
// still deliver older orders. Orders that are not newer are rejected here,
// whether or not the engine checks fencing tokens.
bool is_stale(const MapRank& rank, const MapOrder& order) {
  if (!rank.latest_order) {
    return false;
  }
  return std::pair(order.incarnation, order.sequence) <=
         std::pair(rank.latest_order->incarnation, rank.latest_order->sequence);
}

}  // namespace

RankEffects StartRank(MapRank& rank) {
  return SendNext(rank, ReadStatus{});
}

RankEffects HandleMapOrder(MapRank& rank, MapOrder order) {
  if (order.group != rank.group || is_stale(rank, order)) {
    ++rank.stale_order_count;
    return {};
  }
  rank.latest_order = std::move(order);
  auto effects = SendNext(rank, NextOrder(rank));
  effects.report = MakeReport(rank);
  return effects;
}

RankEffects HandleEngineStatus(MapRank& rank,
                               EngineStatus status,
                               bool is_refused) {
  rank.is_order_in_flight = false;
  rank.is_refused = is_refused;
  rank.engine = std::move(status);
  // A refused order is retried at the next tick, not in a tight loop.
  auto effects = is_refused ? RankEffects{} : SendNext(rank, NextOrder(rank));
  effects.report = MakeReport(rank);
  return effects;
}

RankEffects HandleEngineLost(MapRank& rank) {
  rank.is_order_in_flight = false;
  // The order may still be applied: no other order is sent before a read shows
  // the state of the engine.
  rank.engine.reset();
  return {};
}

RankEffects HandleRankTick(MapRank& rank) {
  return SendNext(rank, ReadStatus{});
}

}  // namespace bramleyspan::expertmap
