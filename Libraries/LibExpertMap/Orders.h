// What the map owner, the ranks' agents and the engines say to each other.
// Each message carries the whole of what its sender wants or knows, so that
// one that is lost, late or seen twice does no harm.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "LibExpertMap/ExpertMap.h"

namespace bramleyspan::expertmap {

// What an owner wants of a rank.
struct MapOrder {
  std::string group;
  // The owner's fencing number, from the key-value service.
  uint64_t incarnation = 0;
  // Counts this owner's orders.
  uint64_t sequence = 0;
  // The last decision, and how far the group may run under it.
  std::optional<Decision> decision;
  Step granted_until = 0;
  // The map whose weights are to be loaded beside those in use.
  std::optional<ExpertMap> next;
};

// What an engine holds, as it says itself.
struct EngineStatus {
  // The last step begun.
  Step step = 0;
  Step granted_until = 0;
  // The newest map scheduled (0: none) and the step from which it holds.
  MapVersion version = 0;
  Step from_step = 0;
  // The maps whose weights are held, and those being loaded.
  std::set<MapVersion> loaded;
  std::set<MapVersion> loading;

  bool operator==(const EngineStatus&) const = default;
};

// A rank's answer to an order.
struct MapReport {
  std::string group;
  Rank rank = 0;
  // The incarnation of the owner that this answers, and its order.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  EngineStatus engine;
};

// Orders to an engine. Each may be repeated or arrive late without harm.
//
// Starts to load a map's weights beside those in use.
struct LoadWeights {
  ExpertMap map;
};
// Files a map under the step from which it holds.
struct SetMap {
  MapVersion version = 0;
  Step from_step = 0;
};
// Lets the engine begin steps up to this one; never takes back.
struct GrantSteps {
  Step until = 0;
};
// Frees a map's weights unless the engine may still need them.
struct DropWeights {
  MapVersion version = 0;
};
// Asks what the engine holds.
struct ReadStatus {};
using EngineOrder =
    std::variant<ReadStatus, LoadWeights, SetMap, GrantSteps, DropWeights>;

}  // namespace bramleyspan::expertmap
