// Follows the catalogue in a process. Heads arrive from the key-value service
// and from peers late, repeated and out of order; the revision in force (the
// one that this process applies) only increases.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCatalogue/Lineage.h"

namespace bramleyspan::catalogue {

// The catalogue as one process holds it.
struct Follower {
  Snapshot in_force;
  Catalogue catalogue;
  // A newer head whose shards are being fetched.
  std::optional<Head> pending;
};

enum class OfferOutcome {
  // The head is in force or pending already.
  kKnown,
  // The head is older than the one in force and was ignored. A key-value
  // service that offers it has lost accepted changes.
  kOlder,
  // The head lacks a change that is in force here and contains another one
  // instead: the key-value service lost accepted changes and accepted others
  // since then.
  kDiverged,
  // Shards are missing; the head takes force once all have arrived.
  kNeedsShards,
  // The newer revision is now in force.
  kInForce,
  // The shards of the newer head do not parse.
  kMalformed,
};

// The outcome of an offer, with the digests of the shards to fetch for
// kNeedsShards.
struct OfferEffects {
  OfferOutcome outcome = OfferOutcome::kKnown;
  std::vector<std::string> missing_shards;
};

// Handles a head that was read or announced, and puts it in force if it is
// newer and all of its shards are present.
OfferEffects OfferHead(Follower& follower, const Head& head);

// Handles the document of a shard. The digest is computed from the document, so
// that a wrong document is never used as a shard.
OfferEffects OfferShard(Follower& follower, const std::string& document);

// Returns the digests that the pending head still lacks. The caller requests
// them again, since a request or its answer may be lost.
std::vector<std::string> FindPendingShards(const Follower& follower);

}  // namespace bramleyspan::catalogue
