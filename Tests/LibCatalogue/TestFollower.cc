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

// A zone is cut off while the key-value service comes back with revision 1 and
// an entry there commits two more. When the links heal, the fork has the higher
// number; a process that goes by numbers undoes the accepted change 2.
TEST_CASE("a higher head that lacks the change in force is not followed") {
  const Snapshot first = CutIntoShards(WithOwner("huber"), {}, "c1");
  const Snapshot second = CutIntoShards(WithOwner("maier"), first.head, "c2");
  const Snapshot fork = CutIntoShards(WithOwner("gruber"), first.head, "d2");
  const Snapshot higher = CutIntoShards(WithOwner("gruber"), fork.head, "d3");
  Follower follower;
  Follow(follower, second);
  CHECK(OfferHead(follower, fork.head).outcome == OfferOutcome::kDiverged);
  CHECK(OfferHead(follower, higher.head).outcome == OfferOutcome::kDiverged);
  Follow(follower, higher);
  CHECK(follower.catalogue.owners.contains("maier"));
}

// A process was away for longer than the history reaches. It must follow
// again, or it would obey its old catalogue until somebody restarts it.
TEST_CASE("a head whose history is too short to tell is followed") {
  Snapshot snapshot = CutIntoShards(WithOwner("huber"), {}, "c1");
  Follower follower;
  Follow(follower, snapshot);
  for (size_t i = 2; i < 2 * kRememberedChanges; ++i) {
    snapshot = CutIntoShards(WithOwner("maier"), snapshot.head,
                             "c" + std::to_string(i));
  }
  Follow(follower, snapshot);
  CHECK(follower.catalogue.owners.contains("maier"));
}

TEST_CASE("the shards of a pending head can be asked for again") {
  const Snapshot snapshot = CutIntoShards(WithOwner("huber"), {}, "c1");
  Follower follower;
  CHECK(FindPendingShards(follower).empty());
  OfferHead(follower, snapshot.head);
  CHECK(FindPendingShards(follower).size() == snapshot.shards.size());
}

}  // namespace bramleyspan::catalogue
