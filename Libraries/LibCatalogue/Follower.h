// How a process follows the catalogue: heads arrive from the key-value service
// and from peers, late, twice and out of order; the revision in force only
// ever goes up.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCatalogue/Lineage.h"

namespace bramleyspan::catalogue {

// What a process holds of the catalogue.
struct Follower {
  Snapshot in_force;
  Catalogue catalogue;
  // A newer head whose shards are still being fetched.
  std::optional<Head> pending;
};

enum class OfferOutcome {
  // The head is in force already.
  kKnown,
  // The head is older than the one in force and was not taken. A key-value
  // service that offers one has lost accepted changes.
  kOlder,
  // The head lacks a change that is in force here and has one of its own: the
  // key-value service lost accepted changes and took others since.
  kDiverged,
  // Shards are missing; the head takes force when they have come.
  kNeedsShards,
  // A newer revision is in force now.
  kInForce,
  // The newer head or its shards do not parse.
  kMalformed,
};

// The outcome of an offer with the digests to fetch for kNeedsShards.
struct OfferEffects {
  OfferOutcome outcome = OfferOutcome::kKnown;
  std::vector<std::string> missing_shards;
};

// Offers a head that was read or announced.
OfferEffects OfferHead(Follower& follower, const Head& head);

// Offers the document of a shard. Its digest is computed here, so that a wrong
// document can never stand for the right one.
OfferEffects OfferShard(Follower& follower, const std::string& document);

// The shards that a pending head still lacks; to be asked for again, since a
// request or its answer may be lost.
std::vector<std::string> FindPendingShards(const Follower& follower);

}  // namespace bramleyspan::catalogue
