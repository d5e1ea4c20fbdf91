#include "LibCatalogue/Shards.h"

#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "LibCatalogue/Document.h"

namespace bramleyspan::catalogue {

namespace {

using nlohmann::json;

constexpr size_t kOwnerShards = 32;

// An owner and its entries share a shard, so that most changes affect one
// shard.
std::string SlotOfOwner(const std::string& owner) {
  const std::string digest = Sha256Hex(owner);
  const size_t slot = std::stoul(digest.substr(0, 4), nullptr, 16);
  return "owners-" + std::to_string(slot % kOwnerShards);
}

json ToJson(const std::vector<AcceptedChange>& changes) {
  json list = json::array();
  for (const AcceptedChange& change : changes) {
    list.push_back({{"id", change.id}, {"revision", change.revision}});
  }
  return list;
}

std::vector<AcceptedChange> ParseChanges(const json& list) {
  std::vector<AcceptedChange> changes;
  for (const json& change : list) {
    changes.push_back({change.at("id"), change.at("revision")});
  }
  return changes;
}

}  // namespace

Snapshot SplitIntoShards(const Catalogue& catalogue,
                         const Head& previous,
                         const std::string& change_id) {
  std::map<std::string, Catalogue> parts;
  for (const auto& [name, owner] : catalogue.owners) {
    parts[SlotOfOwner(name)].owners.emplace(name, owner);
  }
  for (const auto& [name, entry] : catalogue.entries) {
    parts[SlotOfOwner(entry.owner)].entries.emplace(name, entry);
  }
  parts["groups"].groups = catalogue.groups;
  Snapshot snapshot;
  snapshot.head.revision = previous.revision + 1;
  snapshot.head.changes = previous.changes;
  snapshot.head.abandoned = previous.abandoned;
  snapshot.head.changes.push_back({change_id, snapshot.head.revision});
  if (snapshot.head.changes.size() > kHistoryLength) {
    snapshot.head.changes.erase(snapshot.head.changes.begin());
  }
  for (const auto& [slot, part] : parts) {
    std::string document = SerializeJson(part);
    const std::string digest = Sha256Hex(document);
    snapshot.head.shards.emplace(slot, digest);
    snapshot.shards.emplace(digest, std::move(document));
  }
  return snapshot;
}

Result<Catalogue> JoinShards(const Head& head, const ShardMap& shards) {
  Catalogue catalogue;
  for (const auto& [slot, digest] : head.shards) {
    const auto found = shards.find(digest);
    if (found == shards.end()) {
      return Fail(ErrorCode::kNotFound, "shard " + slot, digest);
    }
    Catalogue part = TRY(ParseJson(found->second));
    catalogue.owners.merge(part.owners);
    catalogue.entries.merge(part.entries);
    catalogue.groups.merge(part.groups);
  }
  return catalogue;
}

std::vector<std::string> FindMissingShards(const Head& head,
                                           const ShardMap& shards) {
  std::vector<std::string> missing;
  for (const auto& [slot, digest] : head.shards) {
    if (!shards.contains(digest)) {
      missing.push_back(digest);
    }
  }
  return missing;
}

std::string SerializeHead(const Head& head) {
  const json document = {{"revision", head.revision},
                         {"shards", head.shards},
                         {"changes", ToJson(head.changes)},
                         {"abandoned", ToJson(head.abandoned)}};
  return document.dump();
}

Result<Head> ParseHead(std::string_view text) {
  try {
    const json document = json::parse(text);
    Head head;
    head.revision = document.at("revision");
    head.shards =
        document.at("shards").get<std::map<std::string, std::string>>();
    head.changes = ParseChanges(document.at("changes"));
    head.abandoned = ParseChanges(document.at("abandoned"));
    return head;
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "catalogue head",
                failure.what());
  }
}

}  // namespace bramleyspan::catalogue
