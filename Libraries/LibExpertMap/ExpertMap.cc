#include "LibExpertMap/ExpertMap.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bramleyspan::expertmap {

namespace {

using nlohmann::json;

constexpr unsigned kMapNumberBits = 20;

json ToJson(const ExpertMap& map) {
  return {{"version", map.version}, {"placement", map.placement}};
}

json ToJson(const Decision& decision) {
  return {{"map", ToJson(decision.map)}, {"from_step", decision.from_step}};
}

ExpertMap MapFromJson(const json& document) {
  ExpertMap map;
  document.at("version").get_to(map.version);
  document.at("placement").get_to(map.placement);
  return map;
}

Decision DecisionFromJson(const json& document) {
  Decision decision;
  decision.map = MapFromJson(document.at("map"));
  document.at("from_step").get_to(decision.from_step);
  return decision;
}

// Applies `read` to the parsed text and converts the exceptions that nlohmann
// throws for a malformed document to errors.
template <typename Value, typename Read>
Result<Value> ParseJsonWith(std::string_view text, Read read) {
  try {
    return Value(read(json::parse(text)));
  } catch (const json::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "expert map", failure.what());
  }
}

}  // namespace

MapVersion VersionOf(uint64_t incarnation, uint64_t number) {
  return (incarnation << kMapNumberBits) + number;
}

Placement PlaceRoundRobin(size_t experts, size_t ranks, size_t slots_per_rank) {
  LayerPlacement layer(experts);
  if (experts == 0 || ranks == 0) {
    return {layer};
  }
  const size_t replicas =
      std::clamp(slots_per_rank * ranks / experts, size_t{1}, ranks);
  for (size_t expert = 0; expert < experts; ++expert) {
    for (size_t replica = 0; replica < replicas; ++replica) {
      const size_t slot = expert * replicas + replica;
      layer[expert].push_back(static_cast<Rank>(slot % ranks));
    }
  }
  return {layer};
}

std::string Serialize(const ExpertMap& map) {
  return ToJson(map).dump();
}

std::string Serialize(const Decision& decision) {
  return ToJson(decision).dump();
}

std::string Serialize(const DecisionLog& log) {
  json document = {{"incarnation", log.incarnation}, {"holder", log.holder}};
  if (log.decision) {
    document["decision"] = ToJson(*log.decision);
  }
  return document.dump();
}

Result<ExpertMap> ParseExpertMap(std::string_view text) {
  return ParseJsonWith<ExpertMap>(text, MapFromJson);
}

Result<Decision> ParseDecision(std::string_view text) {
  return ParseJsonWith<Decision>(text, DecisionFromJson);
}

Result<DecisionLog> ParseDecisionLog(std::string_view text) {
  return ParseJsonWith<DecisionLog>(text, [](const json& document) {
    DecisionLog log;
    document.at("incarnation").get_to(log.incarnation);
    document.at("holder").get_to(log.holder);
    if (document.contains("decision")) {
      log.decision = DecisionFromJson(document.at("decision"));
    }
    return log;
  });
}

}  // namespace bramleyspan::expertmap
