// Which ranks of a group hold which experts, and the decision from which step
// on a map is in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::expertmap {

// A place in a rank group; rank 0's agent owns the group's map.
using Rank = uint32_t;

// A lock-step of a group; the first step is 1.
using Step = uint64_t;

// Names a map for ever. Zero names none. Two owners never give one name to two
// maps, since the owner's incarnation is part of it.
using MapVersion = uint64_t;

// The ranks that hold a replica of an expert.
using ReplicaList = std::vector<Rank>;

// The replicas of each expert of a layer.
using LayerPlacement = std::vector<ReplicaList>;

// The replicas of each expert of each layer.
using Placement = std::vector<LayerPlacement>;

// A placement with its name.
struct ExpertMap {
  MapVersion version = 0;
  Placement placement;

  bool operator==(const ExpertMap&) const = default;
};

// Every rank uses `map` in each step from `from_step` on.
struct Decision {
  ExpertMap map;
  Step from_step = 0;

  bool operator==(const Decision&) const = default;
};

// What the key-value service holds for a group: the highest incarnation of a
// map owner, who that is, and the last decision taken.
struct DecisionLog {
  uint64_t incarnation = 0;
  std::string holder;
  std::optional<Decision> decision;

  bool operator==(const DecisionLog&) const = default;
};

// The name of the `number`th map that an owner of this incarnation prepares.
MapVersion VersionOf(uint64_t incarnation, uint64_t number);

// Spreads experts over the slots of all ranks in turn, as evenly as whole
// replicas allow and never twice on a rank.
Placement PlaceRoundRobin(size_t experts, size_t ranks, size_t slots_per_rank);

std::string Serialize(const ExpertMap& map);
std::string Serialize(const Decision& decision);
std::string Serialize(const DecisionLog& log);

// Each fails with kMalformedDocument.
Result<ExpertMap> ParseExpertMap(std::string_view text);
Result<Decision> ParseDecision(std::string_view text);
Result<DecisionLog> ParseDecisionLog(std::string_view text);

}  // namespace bramleyspan::expertmap
