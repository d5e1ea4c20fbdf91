#include "LibExpertMap/MapRank.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::expertmap {

namespace {

// Weights that neither the owner nor the engine's schedule has a use for, such
// as those that a dead owner had loaded and never switched to.
std::optional<MapVersion> FindUnused(const MapOrder& wanted,
                                     const EngineStatus& engine) {
  // Until the newest map is in use the engine needs the one before it too.
  if (engine.step < engine.from_step || !wanted.next.has_value()) {
    return std::nullopt;
  }
  for (const MapVersion version : engine.loaded) {
    if (version != engine.version && version != wanted.next->version) {
      return version;
    }
  }
  return std::nullopt;
}

bool is_held_or_coming(const EngineStatus& engine, MapVersion version) {
  return engine.loaded.contains(version) || engine.loading.contains(version);
}

// The order that brings the engine nearest to what the owner wants.
std::optional<EngineOrder> ChooseOrder(const MapOrder& wanted,
                                       const EngineStatus& engine) {
  if (wanted.decision) {
    const Decision& decision = *wanted.decision;
    if (engine.version > decision.map.version) {
      // The engine obeyed a later decision than this owner knows of. Without
      // this check a late order of a dead owner would put the old map back.
      return std::nullopt;
    }
    if (!is_held_or_coming(engine, decision.map.version)) {
      return LoadWeights{decision.map};
    }
    if (engine.version < decision.map.version) {
      if (!engine.loaded.contains(decision.map.version)) {
        return std::nullopt;
      }
      return SetMap{decision.map.version, decision.from_step};
    }
    // Only an engine that has the decided map scheduled is granted steps. A
    // rank that missed the switch would otherwise run past from_step with the
    // old map while the others use the new one.
    if (wanted.granted_until > engine.granted_until) {
      return GrantSteps{wanted.granted_until};
    }
  }
  if (wanted.next && !is_held_or_coming(engine, wanted.next->version)) {
    return LoadWeights{*wanted.next};
  }
  if (const auto unused = FindUnused(wanted, engine)) {
    return DropWeights{*unused};
  }
  return std::nullopt;
}

RankEffects SendNext(MapRank& rank, std::optional<EngineOrder> order) {
  RankEffects effects;
  if (!rank.is_waiting && order) {
    rank.is_waiting = true;
    effects.engine_order = std::move(order);
  }
  return effects;
}

std::optional<EngineOrder> NextOrder(const MapRank& rank) {
  if (!rank.engine) {
    return ReadStatus{};
  }
  return rank.wanted ? ChooseOrder(*rank.wanted, *rank.engine) : std::nullopt;
}

std::optional<MapReport> MakeReport(const MapRank& rank) {
  // Only what was read after the owner's order may answer it.
  if (!rank.wanted || !rank.engine) {
    return std::nullopt;
  }
  return MapReport{rank.group, rank.rank, rank.wanted->incarnation,
                   rank.wanted->sequence, *rank.engine};
}

// A frozen or replaced owner may go on sending; a connection that broke may
// have left older orders behind. Whoever is not newer is refused here, whether
// or not the engine checks fencing numbers.
bool is_stale(const MapRank& rank, const MapOrder& order) {
  if (!rank.wanted) {
    return false;
  }
  return std::pair(order.incarnation, order.sequence) <=
         std::pair(rank.wanted->incarnation, rank.wanted->sequence);
}

}  // namespace

RankEffects StartRank(MapRank& rank) {
  return SendNext(rank, ReadStatus{});
}

RankEffects HandleMapOrder(MapRank& rank, MapOrder order) {
  if (order.group != rank.group || is_stale(rank, order)) {
    ++rank.stale_orders;
    return {};
  }
  rank.wanted = std::move(order);
  auto effects = SendNext(rank, NextOrder(rank));
  effects.report = MakeReport(rank);
  return effects;
}

RankEffects HandleEngineStatus(MapRank& rank,
                               EngineStatus status,
                               bool is_refused) {
  rank.is_waiting = false;
  rank.is_refused = is_refused;
  rank.engine = std::move(status);
  // A refused order is tried again with the next tick, not in a tight loop.
  auto effects = is_refused ? RankEffects{} : SendNext(rank, NextOrder(rank));
  effects.report = MakeReport(rank);
  return effects;
}

RankEffects HandleEngineLost(MapRank& rank) {
  rank.is_waiting = false;
  // The order may be carried out yet: nothing is sent before a read shows what
  // the engine holds.
  rank.engine.reset();
  return {};
}

RankEffects HandleRankTick(MapRank& rank) {
  return SendNext(rank, ReadStatus{});
}

}  // namespace bramleyspan::expertmap
