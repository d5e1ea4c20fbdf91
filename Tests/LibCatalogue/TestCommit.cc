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

}  // namespace

// An operator is told "failed" for a change that is in force: the swap of the
// head took effect, its reply was lost, and nobody read back.
TEST_CASE("a swap whose reply was lost is found again by the change id") {
  Commit commit;
  StartCommit(commit, {.id = "c1", .base_revision = 0, .catalogue = {}});
  const CommitEffect effect =
      WriteAllShards(commit, HandleHeadRead(commit, StoredHead{}));
  const auto& swap = std::get<SwapHead>(effect);
  const CommitEffect after = HandleHeadSwapped(
      commit, Fail(ErrorCode::kOutcomeUnknown, "swap", "no reply"));
  REQUIRE(std::holds_alternative<ReadHead>(after));
  const CommitEffect end =
      HandleHeadRead(commit, StoredHead{.version = 5, .text = swap.text});
  CHECK(std::get<FinishCommit>(end).outcome.value() == 1);
}

// Two operators edit at one moment; the second one's file was made before the
// first one's change and would silently undo it.
TEST_CASE("a change from an older base is refused as a conflict") {
  Head current;
  current.revision = 4;
  Commit commit;
  StartCommit(commit, {.id = "c9", .base_revision = 3, .catalogue = {}});
  const CommitEffect end = HandleHeadRead(
      commit, StoredHead{.version = 7, .text = SerializeHead(current)});
  const auto& outcome = std::get<FinishCommit>(end).outcome;
  REQUIRE(outcome.has_error());
  CHECK(outcome.error().code == ErrorCode::kConflict);
}

}  // namespace bramleyspan::catalogue
