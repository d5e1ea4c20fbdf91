// Placement of a group's experts on its ranks, and the decision that sets the
// step from which a map is in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::expertmap {

// Index of a rank in its group. The agent of rank 0 owns the group's map.
using Rank = uint32_t;

// Number of a step that all ranks of a group run together; the first step is 1.
using Step = uint64_t;

// Permanent identifier of a map; 0 means no map. It contains the incarnation of
// the owner, so that two owners never give the same version to two maps.
using MapVersion = uint64_t;

// Ranks that hold a replica of an expert.
using ReplicaList = std::vector<Rank>;

// Replicas of each expert of a layer.
using LayerPlacement = std::vector<ReplicaList>;

// Replicas of each expert of each layer.
using Placement = std::vector<LayerPlacement>;

// A placement with its version.
struct ExpertMap {
  MapVersion version = 0;
  Placement placement;

  bool operator==(const ExpertMap&) const = default;
};

// Every rank uses `map` in all steps from `from_step` on.
struct Decision {
  ExpertMap map;
  Step from_step = 0;

  bool operator==(const Decision&) const = default;
};

// Document of a group in the key-value service: the highest incarnation of a
// map owner, the identifier of that owner, and the last decision.
struct DecisionLog {
  uint64_t incarnation = 0;
  std::string holder;
  std::optional<Decision> decision;

  bool operator==(const DecisionLog&) const = default;
};

// Returns the version of map `number` that an owner of this incarnation
// prepares.
MapVersion VersionOf(uint64_t incarnation, uint64_t number);

// Returns a placement that assigns experts round-robin to the slots of all
// ranks, with the most whole replicas that fit (at least one), never two of one
// expert on a rank.
Placement PlaceRoundRobin(size_t experts, size_t ranks, size_t slots_per_rank);

std::string Serialize(const ExpertMap& map);
std::string Serialize(const Decision& decision);
std::string Serialize(const DecisionLog& log);

// Each fails with kMalformedDocument.
Result<ExpertMap> ParseExpertMap(std::string_view text);
Result<Decision> ParseDecision(std::string_view text);
Result<DecisionLog> ParseDecisionLog(std::string_view text);

}  // namespace bramleyspan::expertmap
