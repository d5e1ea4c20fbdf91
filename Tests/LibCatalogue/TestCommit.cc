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

// The error code with which a change set from `base` ends on this head.
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

// An operator is told "failed" for a change that is in force: the swap of the
// head took effect, its reply was lost, and nobody read back.
TEST_CASE("a swap whose reply was lost is found again by the change id") {
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

// As above, but the key-value service goes down right after: an operator who is
// told "nothing was changed" applies another file and undoes the first.
TEST_CASE("a swap in doubt that no read decides ends as unknown") {
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

// Two operators edit at one moment; the second one's file was made before the
// first one's change and would silently undo it.
TEST_CASE("a change from an older base is refused as a conflict") {
  const Head current = HeadAfter({{"c4", 4}});
  Commit commit;
  StartCommit(commit, {.id = "c9", .base_revision = 3, .catalogue = {}});
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 7, .text = SerializeHead(current)}, {});
  const auto& outcome = std::get<FinishCommit>(end).outcome;
  REQUIRE(outcome.has_error());
  CHECK(outcome.error().code == ErrorCode::kConflict);
}

// The key-value service came back from a backup with revision 5 while 7 is in
// force. A change committed on top would be accepted as revision 6, take force
// nowhere, and vanish.
TEST_CASE("a change is refused while the store lacks what is in force") {
  const Head stored = HeadAfter({{"c4", 4}, {"c5", 5}});
  CHECK(CodeOfCommit(stored, 5, {{"c7", 7}}) == ErrorCode::kStoreBehind);
}

// As above, but another process committed meanwhile: the numbers in the store
// are higher than those in force, yet an accepted change is not among them.
TEST_CASE("a change is refused while the store has diverged") {
  const Head stored = HeadAfter({{"c5", 5}, {"d6", 6}, {"d7", 7}, {"d8", 8}});
  CHECK(CodeOfCommit(stored, 8, {{"c5", 5}, {"c7", 7}}) ==
        ErrorCode::kStoreBehind);
}

// An operator asks a day later what became of a change whose reply was lost.
// It was accepted, but the head has forgotten it: "conflict" would be a lie.
TEST_CASE("a change older than the history ends as unknown") {
  const Head stored = HeadAfter({{"c80", 80}, {"c81", 81}});
  CHECK(CodeOfCommit(stored, 3, {}) == ErrorCode::kOutcomeUnknown);
  CHECK(CodeOfCommit(stored, 79, {}) == ErrorCode::kConflict);
}

// The operators' way out after both failures above: the catalogue in force is
// committed anew, and whatever the store took since is named as given up, so
// that processes which followed it come back.
TEST_CASE("a restore names the changes that it gives up") {
  Snapshot in_force =
      CutIntoShards({}, HeadAfter({{"c5", 5}, {"c6", 6}}), "c7");
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

// Two halves of the entries were parted while the key-value service came back
// older: two branches are in force and the service holds a third. A restore of
// any branch is refused for the sake of the others, and operators can edit
// nothing any more. Found by Meta/explore with seed 2791715484.
TEST_CASE("a restore can give up the branches of other processes") {
  const Snapshot common = CutIntoShards({}, {}, "c1");
  const Snapshot ours = CutIntoShards({}, common.head, "a2");
  const Snapshot stored = CutIntoShards({}, common.head, "s2");
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

TEST_CASE("a restore is refused where nothing is lost") {
  const Snapshot in_force = CutIntoShards({}, {}, "c1");
  Commit commit;
  StartRestore(commit, "r", in_force, RestoreScope::kStore);
  const std::string text = SerializeHead(in_force.head);
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 3, .text = text}, {{"c1", 1}});
  CHECK(std::get<FinishCommit>(end).outcome.error().code ==
        ErrorCode::kConflict);
}

}  // namespace bramleyspan::catalogue
