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

// The key-value service was restored to an older state after an outage. A
// process that follows every head that it reads would return to the older
// revision and undo an accepted edit.
TEST_CASE("a head older than the one in force is not followed") {
  const Snapshot first = SplitIntoShards(WithOwner("huber"), {}, "c1");
  const Snapshot second = SplitIntoShards(WithOwner("maier"), first.head, "c2");
  Follower follower;
  Follow(follower, first);
  Follow(follower, second);
  REQUIRE(follower.in_force.head.revision == 2);

  CHECK(OfferHead(follower, first.head).outcome == OfferOutcome::kOlder);
  CHECK(follower.in_force.head.revision == 2);
  CHECK(follower.catalogue.owners.contains("maier"));
}

TEST_CASE("a head takes force only when all of its shards are present") {
  const Snapshot snapshot = SplitIntoShards(WithOwner("huber"), {}, "c1");
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

// A zone is partitioned while the key-value service is restored to revision 1,
// and an entry there commits two changes. After the partition the fork has the
// higher revision; following it by revision alone would undo the accepted
// change 2.
TEST_CASE("a newer revision that lacks the change in force is ignored") {
  const Snapshot first = SplitIntoShards(WithOwner("huber"), {}, "c1");
  const Snapshot second = SplitIntoShards(WithOwner("maier"), first.head, "c2");
  const Snapshot fork = SplitIntoShards(WithOwner("gruber"), first.head, "d2");
  const Snapshot higher = SplitIntoShards(WithOwner("gruber"), fork.head, "d3");
  Follower follower;
  Follow(follower, second);
  CHECK(OfferHead(follower, fork.head).outcome == OfferOutcome::kDiverged);
  CHECK(OfferHead(follower, higher.head).outcome == OfferOutcome::kDiverged);
  Follow(follower, higher);
  CHECK(follower.catalogue.owners.contains("maier"));
}

// A process was offline for longer than the history covers. It must follow
// again, or it would apply its old catalogue until a restart.
TEST_CASE("a head whose history is too short to compare is followed") {
  Snapshot snapshot = SplitIntoShards(WithOwner("huber"), {}, "c1");
  Follower follower;
  Follow(follower, snapshot);
  for (size_t i = 2; i < 2 * kHistoryLength; ++i) {
    snapshot = SplitIntoShards(WithOwner("maier"), snapshot.head,
                               "c" + std::to_string(i));
  }
  Follow(follower, snapshot);
  CHECK(follower.catalogue.owners.contains("maier"));
}

TEST_CASE("the missing shards of a pending head are listed") {
  const Snapshot snapshot = SplitIntoShards(WithOwner("huber"), {}, "c1");
  Follower follower;
  CHECK(FindPendingShards(follower).empty());
  OfferHead(follower, snapshot.head);
  CHECK(FindPendingShards(follower).size() == snapshot.shards.size());
}

}  // namespace bramleyspan::catalogue
