#include <doctest/doctest.h>

#include "LibCatalogue/Follower.h"

namespace bramleyspan::catalogue {

namespace {

Catalogue WithOwner(const std::string& name) {
  Catalogue catalogue;
  catalogue.owners.emplace(
      name,
      Owner{.name = name, .key_sha256 = std::string(64, 'a'), .limits = {}});
  return catalogue;
}

void Follow(Follower& follower, const Snapshot& snapshot) {
  OfferHead(follower, snapshot.head);
  for (const auto& [digest, document] : snapshot.shards) {
    OfferShard(follower, document);
  }
}

}  // namespace

// An operator sees an accepted edit undone: the key-value service came back
// from an outage with an older state, and a process that follows whatever it
// reads went back to the older revision.
TEST_CASE("a head older than the one in force is not followed") {
  const Snapshot first = CutIntoShards(WithOwner("huber"), {}, "c1");
  const Snapshot second = CutIntoShards(WithOwner("maier"), first.head, "c2");
  Follower follower;
  Follow(follower, first);
  Follow(follower, second);
  REQUIRE(follower.in_force.head.revision == 2);

  CHECK(OfferHead(follower, first.head).outcome == OfferOutcome::kOlder);
  CHECK(follower.in_force.head.revision == 2);
  CHECK(follower.catalogue.owners.contains("maier"));
}

TEST_CASE("a head takes force only when all of its shards are here") {
  const Snapshot snapshot = CutIntoShards(WithOwner("huber"), {}, "c1");
  Follower follower;
  const OfferEffects effects = OfferHead(follower, snapshot.head);
  CHECK(effects.outcome == OfferOutcome::kNeedsShards);
  CHECK(effects.missing_shards.size() == snapshot.shards.size());
  CHECK(follower.in_force.head.revision == 0);
  OfferShard(follower, "not the document that was named");
  CHECK(follower.in_force.head.revision == 0);
  Follow(follower, snapshot);
  CHECK(follower.in_force.head.revision == 1);
}

}  // namespace bramleyspan::catalogue
