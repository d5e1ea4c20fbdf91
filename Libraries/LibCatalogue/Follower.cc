#include "LibCatalogue/Follower.h"

#include <utility>

#include "Kernel/Digest.h"

namespace bramleyspan::catalogue {

namespace {

void ForgetUnnamedShards(Snapshot& snapshot) {
  ShardMap named;
  for (const auto& [slot, digest] : snapshot.head.shards) {
    named.emplace(digest, std::move(snapshot.shards[digest]));
  }
  snapshot.shards = std::move(named);
}

// Brings the pending head in force if all of its shards are here.
OfferEffects TryPending(Follower& follower) {
  auto missing = FindMissingShards(*follower.pending, follower.in_force.shards);
  if (!missing.empty()) {
    return {OfferOutcome::kNeedsShards, std::move(missing)};
  }
  auto joined = JoinShards(*follower.pending, follower.in_force.shards);
  if (joined.has_error()) {
    follower.pending.reset();
    return {OfferOutcome::kMalformed, {}};
  }
  follower.catalogue = std::move(joined).assume_value();
  follower.in_force.head = *std::exchange(follower.pending, std::nullopt);
  ForgetUnnamedShards(follower.in_force);
  return {OfferOutcome::kInForce, {}};
}

}  // namespace

OfferEffects OfferHead(Follower& follower, const Head& head) {
  const Head& current = follower.in_force.head;
  // A late or repeated head, or a key-value service that came back with an
  // older state, must not undo an accepted change.
  if (head.revision < current.revision) {
    return {OfferOutcome::kOlder, {}};
  }
  if (head.revision == current.revision) {
    return {head == current ? OfferOutcome::kKnown : OfferOutcome::kDiverged,
            {}};
  }
  if (follower.pending && head.revision < follower.pending->revision) {
    return {OfferOutcome::kOlder, {}};
  }
  follower.pending = head;
  return TryPending(follower);
}

OfferEffects OfferShard(Follower& follower, const std::string& document) {
  if (!follower.pending) {
    return {OfferOutcome::kKnown, {}};
  }
  follower.in_force.shards.emplace(Sha256Hex(document), document);
  return TryPending(follower);
}

}  // namespace bramleyspan::catalogue
