#include "LibCatalogue/Follower.h"

#include <algorithm>
#include <utility>

#include "Kernel/Digest.h"

namespace bramleyspan::catalogue {

namespace {

void RemoveUnreferencedShards(Snapshot& snapshot) {
  ShardMap referenced;
  for (const auto& [slot, digest] : snapshot.head.shards) {
    referenced.emplace(digest, std::move(snapshot.shards[digest]));
  }
  snapshot.shards = std::move(referenced);
}

// Puts the pending head in force if all of its shards are present.
OfferEffects ApplyPendingIfComplete(Follower& follower) {
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
  RemoveUnreferencedShards(follower.in_force);
  return {OfferOutcome::kInForce, {}};
}

}  // namespace

OfferEffects OfferHead(Follower& follower, const Head& head) {
  const Head& current = follower.in_force.head;
  switch (CompareLineage(head, NewestChange(current))) {
    case Lineage::kSame:
      return {OfferOutcome::kKnown, {}};
    case Lineage::kOlder:
      // A late or repeated head, or one from a key-value service that was
      // restored to an older state, must not undo an accepted change.
      return {OfferOutcome::kOlder, {}};
    case Lineage::kDiverged:
      // The service lost accepted changes and accepted another commit since
      // then. This head may have a higher revision than ours, but following it
      // would undo an accepted change.
      return {OfferOutcome::kDiverged, {}};
    case Lineage::kNewer:
      break;
  }
  if (follower.pending && head.revision < follower.pending->revision) {
    return {OfferOutcome::kKnown, {}};
  }
  follower.pending = head;
  return ApplyPendingIfComplete(follower);
}

OfferEffects OfferShard(Follower& follower, const std::string& document) {
  if (!follower.pending) {
    return {OfferOutcome::kKnown, {}};
  }
  const std::string digest = Sha256Hex(document);
  const auto missing = FindPendingShards(follower);
  if (std::ranges::find(missing, digest) == missing.end()) {
    return {OfferOutcome::kKnown, {}};
  }
  follower.in_force.shards.emplace(digest, document);
  return ApplyPendingIfComplete(follower);
}

std::vector<std::string> FindPendingShards(const Follower& follower) {
  if (!follower.pending) {
    return {};
  }
  return FindMissingShards(*follower.pending, follower.in_force.shards);
}

}  // namespace bramleyspan::catalogue
