// A catalogue split into immutable shards, and the head that references them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

// An accepted change in the history of a head. An operator whose reply was lost
// finds there that the change was accepted.
struct AcceptedChange {
  std::string id;
  uint64_t revision = 0;

  bool operator==(const AcceptedChange&) const = default;
};

// The only mutable document; swapping it commits a change. A head together with
// the shards that it references is one complete catalogue.
struct Head {
  uint64_t revision = 0;
  // Digests of the shards, by slot.
  std::map<std::string, std::string> shards;
  // The newest changes, oldest first.
  std::vector<AcceptedChange> changes;
  // Changes that an operator abandoned by a restore: a key-value service
  // accepted them after it had lost others.
  std::vector<AcceptedChange> abandoned;

  bool operator==(const Head&) const = default;
};

// Shard documents by the SHA-256 digest of their text.
using ShardMap = std::map<std::string, std::string>;

// A head with every shard that it references.
struct Snapshot {
  Head head;
  ShardMap shards;
};

// Number of changes in the history of a head. At 310 changes a day, the load of
// today's users and the planned growth, a process can be offline for five hours
// and still determine that a head follows its own.
inline constexpr size_t kHistoryLength = 64;

// Splits a catalogue into shards and returns them with the next head.
Snapshot SplitIntoShards(const Catalogue& catalogue,
                         const Head& previous,
                         const std::string& change_id);

// Joins the shards that a head references. Fails with kNotFound if one is
// missing, with kMalformedDocument if one does not parse.
Result<Catalogue> JoinShards(const Head& head, const ShardMap& shards);

// Returns the digests that `head` references and `shards` lacks.
std::vector<std::string> FindMissingShards(const Head& head,
                                           const ShardMap& shards);

std::string SerializeHead(const Head& head);

// Fails with kMalformedDocument.
Result<Head> ParseHead(std::string_view text);

}  // namespace bramleyspan::catalogue
