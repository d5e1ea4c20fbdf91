#include "LibCatalogue/Commit.h"

#include <algorithm>

namespace bramleyspan::catalogue {

namespace {

constexpr uint32_t kMaxReads = 6;

CommitEffect Finish(Result<uint64_t> outcome) {
  return FinishCommit{std::move(outcome)};
}

CommitEffect WriteNextOrSwap(Commit& commit) {
  if (commit.unwritten_shards.empty()) {
    return SwapHead{commit.head_version, SerializeHead(commit.next.head)};
  }
  auto [digest, document] = std::move(commit.unwritten_shards.back());
  commit.unwritten_shards.pop_back();
  return WriteShard{std::move(digest), std::move(document)};
}

CommitEffect RetryReadOrFail(Commit& commit, const Error& cause) {
  if (commit.reads_left > 0) {
    --commit.reads_left;
    return ReadHead{.attempt = kMaxReads - commit.reads_left};
  }
  // Before the first swap nothing can have changed. After a swap without a
  // reply only a read of the head shows its outcome, and every read failed.
  if (commit.is_swap_outcome_unknown) {
    return Finish(Fail(ErrorCode::kOutcomeUnknown, commit.change.id,
                       "the key-value service did not answer"));
  }
  return Finish(Fail(ErrorCode::kUnavailable, commit.change.id,
                     "nothing was changed: " + Describe(cause)));
}

// Prepares a change set. Only shards that the current head does not reference
// are written.
void PrepareChange(Commit& commit, const Head& current) {
  commit.next =
      SplitIntoShards(commit.change.catalogue, current, commit.change.id);
  for (const auto& [slot, digest] : commit.next.head.shards) {
    const auto previous_digest = current.shards.find(slot);
    if (previous_digest == current.shards.end() ||
        previous_digest->second != digest) {
      commit.unwritten_shards.emplace_back(digest,
                                           commit.next.shards.at(digest));
    }
  }
}

void AppendBounded(std::vector<AcceptedChange>& changes,
                   const AcceptedChange& change) {
  changes.push_back(change);
  if (changes.size() > kHistoryLength) {
    changes.erase(changes.begin());
  }
}

// Prepares a restore. Every shard is written, since the service may have lost
// any of them. The new head lists the abandoned changes, so that processes
// which have them in force can follow it.
void PrepareRestore(Commit& commit,
                    const Head& current,
                    const KnownChanges& known) {
  commit.next = *commit.restored;
  Head& head = commit.next.head;
  uint64_t highest = std::max(head.revision, current.revision);
  KnownChanges others = current.changes;
  others.insert(others.end(), known.begin(), known.end());
  for (const AcceptedChange& change : others) {
    highest = std::max(highest, change.revision);
    if (!has_change(head, change) && !has_abandoned(head, change)) {
      AppendBounded(head.abandoned, change);
    }
  }
  head.revision = highest + 1;
  AppendBounded(head.changes, {commit.change.id, head.revision});
  commit.unwritten_shards.assign(commit.next.shards.begin(),
                                 commit.next.shards.end());
}

Result<Head> ParseStoredHead(const StoredHead& stored) {
  if (stored.text.empty()) {
    return Head{};
  }
  return ParseHead(stored.text);
}

// Returns the worst lineage of the stored head relative to the known changes.
Lineage FindWorstLineage(const Head& current, const KnownChanges& known) {
  Lineage worst = Lineage::kSame;
  for (const AcceptedChange& change : known) {
    worst = std::max(worst, CompareLineage(current, change));
  }
  return worst;
}

// The service lacks a change that is in force, so it was restored to an older
// state. A commit on top of that state would be accepted but never take force,
// or would undo an accepted change in a process that was offline. Commits fail
// until an operator restores the catalogue.
CommitEffect FailStoreBehind(const Commit& commit, const Head& current) {
  const std::string detail = "the key-value service holds revision " +
                             std::to_string(current.revision) +
                             " and lacks a change that is in force";
  return Finish(Fail(commit.is_swap_outcome_unknown ? ErrorCode::kOutcomeUnknown
                                                    : ErrorCode::kStoreBehind,
                     commit.change.id, detail));
}

CommitEffect FailConflict(const Commit& commit, const Head& current) {
  const uint64_t base = commit.change.base_revision;
  const std::string detail =
      "revision " + std::to_string(current.revision) +
      " is in force, the change was made from revision " + std::to_string(base);
  // If this change was accepted, its revision is the one after its base. If the
  // history no longer reaches back that far, kConflict would wrongly state that
  // it was not accepted.
  const bool is_before_history =
      !current.changes.empty() && base + 1 < current.changes.front().revision;
  return Finish(Fail(
      is_before_history ? ErrorCode::kOutcomeUnknown : ErrorCode::kConflict,
      commit.change.id,
      is_before_history ? detail + ", which is older than the history"
                        : detail));
}

CommitEffect ContinueRestore(Commit& commit,
                             const Head& current,
                             const KnownChanges& known) {
  const Head& in_force = commit.restored->head;
  for (const AcceptedChange& change : known) {
    if (commit.scope == RestoreScope::kStore && !has_change(in_force, change) &&
        !has_change(current, change)) {
      return Finish(Fail(ErrorCode::kConflict, commit.change.id,
                         "another process has change " + change.id +
                             " in force, which would be lost: restore there, "
                             "or give up all other branches"));
    }
  }
  if (FindWorstLineage(current, known) <= Lineage::kNewer) {
    return Finish(Fail(ErrorCode::kConflict, commit.change.id,
                       "the key-value service lacks nothing"));
  }
  PrepareRestore(commit, current, known);
  return WriteNextOrSwap(commit);
}

}  // namespace

CommitEffect StartCommit(Commit& commit, ChangeSet change) {
  commit = Commit{};
  commit.change = std::move(change);
  commit.reads_left = kMaxReads;
  return ReadHead{};
}

CommitEffect StartRestore(Commit& commit,
                          std::string change_id,
                          Snapshot in_force,
                          RestoreScope scope) {
  commit = Commit{};
  commit.scope = scope;
  commit.change.id = std::move(change_id);
  commit.restored = std::move(in_force);
  commit.reads_left = kMaxReads;
  return ReadHead{};
}

CommitEffect HandleHeadRead(Commit& commit,
                            const Result<StoredHead>& stored,
                            const KnownChanges& known) {
  if (stored.has_error()) {
    return RetryReadOrFail(commit, stored.error());
  }
  auto parsed = ParseStoredHead(stored.value());
  if (parsed.has_error()) {
    return Finish(boost::outcome_v2::failure(parsed.error()));
  }
  const Head current = std::move(parsed).assume_value();
  const bool is_store_behind =
      FindWorstLineage(current, known) > Lineage::kNewer;
  // Finds the change of a swap whose reply was lost, and that of a repeated
  // `apply`.
  const AcceptedChange* accepted = FindChange(current, commit.change.id);
  if (accepted != nullptr && !(is_store_behind && !commit.restored)) {
    return Finish(accepted->revision);
  }
  commit.head_version = stored.value().version;
  commit.unwritten_shards.clear();
  if (commit.restored) {
    return ContinueRestore(commit, current, known);
  }
  if (is_store_behind) {
    return FailStoreBehind(commit, current);
  }
  if (current.revision != commit.change.base_revision) {
    return FailConflict(commit, current);
  }
  PrepareChange(commit, current);
  return WriteNextOrSwap(commit);
}

CommitEffect HandleChangeDuringRead(Commit& commit) {
  return RetryReadOrFail(commit,
                         Error{ErrorCode::kConflict, commit.change.id,
                               "the catalogue moved while its head was read"});
}

CommitEffect HandleShardWritten(Commit& commit, const Result<void>& written) {
  if (written.has_error()) {
    // Shards are immutable and unreferenced until the swap, so a repeated write
    // is safe.
    return RetryReadOrFail(commit, written.error());
  }
  return WriteNextOrSwap(commit);
}

CommitEffect HandleHeadSwapped(Commit& commit, const Result<bool>& swapped) {
  if (swapped.has_error()) {
    commit.is_swap_outcome_unknown = true;
    return RetryReadOrFail(commit, swapped.error());
  }
  if (swapped.value()) {
    return Finish(commit.next.head.revision);
  }
  // Another change was committed first, or an earlier swap of this change whose
  // reply was lost: the head shows which.
  return RetryReadOrFail(
      commit, Error{ErrorCode::kConflict, commit.change.id, "head has moved"});
}

}  // namespace bramleyspan::catalogue
