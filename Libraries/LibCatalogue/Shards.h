// A catalogue cut into immutable shards, and the head that names them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

// A change that the head remembers, so that an operator whose reply was lost
// can learn that it was accepted.
struct AcceptedChange {
  std::string id;
  uint64_t revision = 0;

  bool operator==(const AcceptedChange&) const = default;
};

// The one mutable document. Swapping it is the commit of a change: a reader
// that holds a head and the shards it names holds one whole catalogue.
struct Head {
  uint64_t revision = 0;
  // Digests of the shards by their slot.
  std::map<std::string, std::string> shards;
  // The newest changes, oldest first.
  std::vector<AcceptedChange> changes;
  // Changes that an operator gave up by a restore: they were accepted by a
  // key-value service that had lost others.
  std::vector<AcceptedChange> abandoned;

  bool operator==(const Head&) const = default;
};

// Shard documents by the digest of their text.
using ShardMap = std::map<std::string, std::string>;

// A head together with every shard that it names.
struct Snapshot {
  Head head;
  ShardMap shards;
};

// How many changes a head remembers. Today's users and the size ahead make 310
// changes a day: a process can be away for five hours and still tell that a
// head follows its own.
inline constexpr size_t kRememberedChanges = 64;

// Cuts a catalogue into shards and names them in the next head.
Snapshot CutIntoShards(const Catalogue& catalogue,
                       const Head& previous,
                       const std::string& change_id);

// Joins the shards that a head names. Fails with kNotFound if one is missing,
// with kMalformedDocument if one does not parse.
Result<Catalogue> JoinShards(const Head& head, const ShardMap& shards);

// The digests that `head` names and `shards` lacks.
std::vector<std::string> FindMissingShards(const Head& head,
                                           const ShardMap& shards);

std::string SerializeHead(const Head& head);

// Fails with kMalformedDocument.
Result<Head> ParseHead(std::string_view text);

}  // namespace bramleyspan::catalogue
