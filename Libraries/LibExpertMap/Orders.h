// Messages between the map owner, the ranks' agents and the engines. Each
// message carries the complete desired or current state of its sender, so that
// lost, late and repeated messages do no harm.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "LibExpertMap/ExpertMap.h"

namespace bramleyspan::expertmap {

// State that an owner requests of a rank.
struct MapOrder {
  std::string group;
  // Incarnation of the owner, assigned through the key-value service; used as a
  // fencing token.
  uint64_t incarnation = 0;
  // Sequence number of this owner's orders.
  uint64_t sequence = 0;
  // The last decision, and the last step that the group may begin under it.
  std::optional<Decision> decision;
  Step granted_until = 0;
  // Map whose weights are to be loaded in addition to those in use.
  std::optional<ExpertMap> next;
};

// State of an engine, as reported by itself.
struct EngineStatus {
  // The last step begun.
  Step step = 0;
  Step granted_until = 0;
  // Version of the newest scheduled map (0: none) and the step from which it
  // holds.
  MapVersion version = 0;
  Step from_step = 0;
  // Maps whose weights are loaded, and those being loaded.
  std::set<MapVersion> loaded;
  std::set<MapVersion> loading;

  bool operator==(const EngineStatus&) const = default;
};

// A rank's answer to an order.
struct MapReport {
  std::string group;
  Rank rank = 0;
  // Incarnation of the owner that this answers, and the sequence number of its
  // order.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  EngineStatus engine;
};

// Orders to an engine. Each may be repeated or arrive late without harm.
//
// Starts to load a map's weights in addition to those in use.
struct LoadWeights {
  ExpertMap map;
};
// Schedules a map for the steps from `from_step` on.
struct SetMap {
  MapVersion version = 0;
  Step from_step = 0;
};
// Lets the engine begin steps up to `until`; never lowers an earlier grant.
struct GrantSteps {
  Step until = 0;
};
// Frees a map's weights unless the engine may still need them.
struct DropWeights {
  MapVersion version = 0;
};
// Requests the state of the engine.
struct ReadStatus {};
using EngineOrder =
    std::variant<ReadStatus, LoadWeights, SetMap, GrantSteps, DropWeights>;

}  // namespace bramleyspan::expertmap
