#include "LibCatalogue/Follower.h"

#include <algorithm>
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
  switch (CompareLineage(head, NewestChange(current))) {
    case Lineage::kSame:
      return {OfferOutcome::kKnown, {}};
    case Lineage::kOlder:
      // A late or repeated head, or a key-value service that came back with an
      // older state, must not undo an accepted change.
      return {OfferOutcome::kOlder, {}};
    case Lineage::kDiverged:
      // The service lost accepted changes and somebody committed on top of
      // what was left. The number of such a head may be higher than ours, but
      // to follow it would undo what was accepted.
      return {OfferOutcome::kDiverged, {}};
    case Lineage::kNewer:
      break;
  }
  if (follower.pending && head.revision < follower.pending->revision) {
    return {OfferOutcome::kKnown, {}};
  }
  follower.pending = head;
  return TryPending(follower);
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
  return TryPending(follower);
}

std::vector<std::string> FindPendingShards(const Follower& follower) {
  if (!follower.pending) {
    return {};
  }
  return FindMissingShards(*follower.pending, follower.in_force.shards);
}

}  // namespace bramleyspan::catalogue
