#include <doctest/doctest.h>

#include "LibCatalogue/Commit.h"

namespace bramleyspan::catalogue {

namespace {

CommitEffect WriteAllShards(Commit& commit, CommitEffect effect) {
  while (std::holds_alternative<WriteShard>(effect)) {
    effect = HandleShardWritten(commit, Succeed());
  }
  return effect;
}

Head HeadAfter(std::vector<AcceptedChange> changes) {
  Head head;
  head.revision = changes.back().revision;
  head.changes = std::move(changes);
  return head;
}

// Returns the error code of a change set from `base` on this head.
ErrorCode CodeOfCommit(const Head& stored,
                       uint64_t base,
                       const KnownChanges& known) {
  Commit commit;
  StartCommit(commit, {.id = "mine", .base_revision = base, .catalogue = {}});
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 7, .text = SerializeHead(stored)}, known);
  return std::get<FinishCommit>(end).outcome.error().code;
}

}  // namespace

// An operator got "failed" for a change that is in force: the swap of the head
// took effect, its reply was lost, and the head was not read again.
TEST_CASE("a swap whose reply was lost is found by its change id") {
  Commit commit;
  StartCommit(commit, {.id = "c1", .base_revision = 0, .catalogue = {}});
  const CommitEffect effect =
      WriteAllShards(commit, HandleHeadRead(commit, StoredHead{}, {}));
  const auto& swap = std::get<SwapHead>(effect);
  const CommitEffect after = HandleHeadSwapped(
      commit, Fail(ErrorCode::kOutcomeUnknown, "swap", "no reply"));
  REQUIRE(std::holds_alternative<ReadHead>(after));
  const CommitEffect end =
      HandleHeadRead(commit, StoredHead{.version = 5, .text = swap.text}, {});
  CHECK(std::get<FinishCommit>(end).outcome.value() == 1);
}

// As above, but the key-value service fails right after the swap. If the
// operator got "nothing was changed", the next file would undo the first
// change.
TEST_CASE("a swap without reply or readable head ends as unknown") {
  Commit commit;
  StartCommit(commit, {.id = "c1", .base_revision = 0, .catalogue = {}});
  WriteAllShards(commit, HandleHeadRead(commit, StoredHead{}, {}));
  const Result<StoredHead> outage = Fail(ErrorCode::kTimeout, "read");
  CommitEffect effect =
      HandleHeadSwapped(commit, Fail(ErrorCode::kOutcomeUnknown, "swap"));
  while (std::holds_alternative<ReadHead>(effect)) {
    effect = HandleHeadRead(commit, outage, {});
  }
  CHECK(std::get<FinishCommit>(effect).outcome.error().code ==
        ErrorCode::kOutcomeUnknown);
}

// Two operators edit at the same time. The second file is based on the
// catalogue before the first change and would silently undo it.
TEST_CASE("a change from an older base fails as a conflict") {
  const Head current = HeadAfter({{"c4", 4}});
  Commit commit;
  StartCommit(commit, {.id = "c9", .base_revision = 3, .catalogue = {}});
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 7, .text = SerializeHead(current)}, {});
  const auto& outcome = std::get<FinishCommit>(end).outcome;
  REQUIRE(outcome.has_error());
  CHECK(outcome.error().code == ErrorCode::kConflict);
}

// The key-value service was restored from a backup with revision 5 while 7 is
// in force. A change on top of it would be accepted as revision 6 and never
// take force.
TEST_CASE("a change is refused while the store lacks a change in force") {
  const Head stored = HeadAfter({{"c4", 4}, {"c5", 5}});
  CHECK(CodeOfCommit(stored, 5, {{"c7", 7}}) == ErrorCode::kStoreBehind);
}

// As above, but another process has committed since then: the stored revision
// is higher than those in force, yet an accepted change is missing.
TEST_CASE("a change is refused while the store has diverged") {
  const Head stored = HeadAfter({{"c5", 5}, {"d6", 6}, {"d7", 7}, {"d8", 8}});
  CHECK(CodeOfCommit(stored, 8, {{"c5", 5}, {"c7", 7}}) ==
        ErrorCode::kStoreBehind);
}

// An operator queries a change a day after its reply was lost. It was accepted,
// but the history no longer contains it, so kConflict would be wrong.
TEST_CASE("a change older than the history ends as unknown") {
  const Head stored = HeadAfter({{"c80", 80}, {"c81", 81}});
  CHECK(CodeOfCommit(stored, 3, {}) == ErrorCode::kOutcomeUnknown);
  CHECK(CodeOfCommit(stored, 79, {}) == ErrorCode::kConflict);
}

// Recovery from the two failures above: a restore commits the catalogue in
// force again and lists the changes that the store accepted since then as
// abandoned, so that processes which have them in force can follow.
TEST_CASE("a restore lists the changes that it abandons") {
  Snapshot in_force =
      SplitIntoShards({}, HeadAfter({{"c5", 5}, {"c6", 6}}), "c7");
  const Head stored = HeadAfter({{"c5", 5}, {"d6", 6}, {"d7", 7}, {"d8", 8}});
  Commit commit;
  StartRestore(commit, "r", in_force, RestoreScope::kStore);
  const CommitEffect effect = WriteAllShards(
      commit,
      HandleHeadRead(commit,
                     StoredHead{.version = 9, .text = SerializeHead(stored)},
                     {{"c7", 7}, {"d8", 8}}));
  const Head next = ParseHead(std::get<SwapHead>(effect).text).value();
  CHECK(next.revision == 9);
  CHECK(NewestChange(next) == AcceptedChange{"r", 9});
  CHECK(next.abandoned ==
        std::vector<AcceptedChange>{{"d6", 6}, {"d7", 7}, {"d8", 8}});
  CHECK(CompareLineage(next, {"c7", 7}) == Lineage::kNewer);
  CHECK(CompareLineage(next, {"d7", 7}) == Lineage::kNewer);
}

// Two halves of the entries were partitioned while the key-value service was
// restored to an older state: two branches are in force and the service holds a
// third. A restore of either branch was rejected because of the other, and the
// catalogue could not be edited. Found by Meta/explore with seed 2791715484.
TEST_CASE("a restore can abandon the branches of other processes") {
  const Snapshot common = SplitIntoShards({}, {}, "c1");
  const Snapshot ours = SplitIntoShards({}, common.head, "a2");
  const Snapshot stored = SplitIntoShards({}, common.head, "s2");
  const AcceptedChange theirs{"b2", 2};
  const StoredHead text{.version = 3, .text = SerializeHead(stored.head)};
  const KnownChanges known{NewestChange(ours.head), theirs};

  Commit commit;
  StartRestore(commit, "r", ours, RestoreScope::kStore);
  const CommitEffect refused = HandleHeadRead(commit, text, known);
  CHECK(std::get<FinishCommit>(refused).outcome.error().code ==
        ErrorCode::kConflict);

  StartRestore(commit, "r", ours, RestoreScope::kAllBranches);
  HandleHeadRead(commit, text, known);
  for (const AcceptedChange& change :
       {theirs, NewestChange(stored.head), NewestChange(ours.head)}) {
    CHECK(CompareLineage(commit.next.head, change) == Lineage::kNewer);
  }
}

TEST_CASE("a restore is refused if the store lacks no change") {
  const Snapshot in_force = SplitIntoShards({}, {}, "c1");
  Commit commit;
  StartRestore(commit, "r", in_force, RestoreScope::kStore);
  const std::string text = SerializeHead(in_force.head);
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 3, .text = text}, {{"c1", 1}});
  CHECK(std::get<FinishCommit>(end).outcome.error().code ==
        ErrorCode::kConflict);
}

}  // namespace bramleyspan::catalogue
