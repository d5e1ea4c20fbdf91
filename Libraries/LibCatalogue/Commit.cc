#include "LibCatalogue/Commit.h"

#include <algorithm>

namespace bramleyspan::catalogue {

namespace {

constexpr uint32_t kMostReads = 8;

CommitEffect Finish(Result<uint64_t> outcome) {
  return FinishCommit{std::move(outcome)};
}

CommitEffect WriteNextOrSwap(Commit& commit) {
  if (commit.unwritten.empty()) {
    return SwapHead{commit.head_version, SerializeHead(commit.next.head)};
  }
  auto [digest, document] = std::move(commit.unwritten.back());
  commit.unwritten.pop_back();
  return WriteShard{std::move(digest), std::move(document)};
}

CommitEffect ReadAgainOrGiveUp(Commit& commit, const Error& cause) {
  if (commit.reads_left > 0) {
    --commit.reads_left;
    return ReadHead{};
  }
  // Before the first swap nothing can have changed. After one whose reply was
  // lost only a read could tell, and none came through.
  if (commit.is_swap_in_doubt) {
    return Finish(Fail(ErrorCode::kOutcomeUnknown, commit.change.id,
                       "the key-value service did not answer"));
  }
  return Finish(Fail(ErrorCode::kUnavailable, commit.change.id,
                     "nothing was changed: " + Describe(cause)));
}

void Prepare(Commit& commit, const Head& current, uint64_t version) {
  commit.head_version = version;
  commit.next =
      CutIntoShards(commit.change.catalogue, current, commit.change.id);
  commit.unwritten.clear();
  for (const auto& [slot, digest] : commit.next.head.shards) {
    const auto before = current.shards.find(slot);
    if (before == current.shards.end() || before->second != digest) {
      commit.unwritten.emplace_back(digest, commit.next.shards.at(digest));
    }
  }
}

}  // namespace

CommitEffect StartCommit(Commit& commit, ChangeSet change) {
  commit = Commit{};
  commit.change = std::move(change);
  commit.reads_left = kMostReads;
  return ReadHead{};
}

CommitEffect HandleHeadRead(Commit& commit, const Result<StoredHead>& stored) {
  if (stored.has_error()) {
    return ReadAgainOrGiveUp(commit, stored.error());
  }
  Head current;
  if (!stored.value().text.empty()) {
    auto parsed = ParseHead(stored.value().text);
    if (parsed.has_error()) {
      return Finish(boost::outcome_v2::failure(parsed.error()));
    }
    current = std::move(parsed).assume_value();
  }
  // A swap whose reply was lost shows here; so does a repeated `apply`.
  const auto accepted =
      std::find_if(current.changes.begin(), current.changes.end(),
                   [&](const AcceptedChange& known) {
                     return known.id == commit.change.id;
                   });
  if (accepted != current.changes.end()) {
    return Finish(accepted->revision);
  }
  if (current.revision != commit.change.base_revision) {
    return Finish(Fail(ErrorCode::kConflict, commit.change.id,
                       "revision " + std::to_string(current.revision) +
                           " is in force, the change was made from revision " +
                           std::to_string(commit.change.base_revision)));
  }
  Prepare(commit, current, stored.value().version);
  return WriteNextOrSwap(commit);
}

CommitEffect HandleShardWritten(Commit& commit, const Result<void>& written) {
  if (written.has_error()) {
    // Shards are immutable and unnamed until the swap: writing again is safe.
    return ReadAgainOrGiveUp(commit, written.error());
  }
  return WriteNextOrSwap(commit);
}

CommitEffect HandleHeadSwapped(Commit& commit, const Result<bool>& swapped) {
  if (swapped.has_error()) {
    commit.is_swap_in_doubt = true;
    return ReadAgainOrGiveUp(commit, swapped.error());
  }
  if (swapped.value()) {
    return Finish(commit.next.head.revision);
  }
  // Somebody else's change came first, or an earlier swap of this very change
  // whose reply was lost: the head tells which.
  return ReadAgainOrGiveUp(
      commit, Error{ErrorCode::kConflict, commit.change.id, "head has moved"});
}

}  // namespace bramleyspan::catalogue
