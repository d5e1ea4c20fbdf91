#include "LibCatalogue/Commit.h"

#include <algorithm>

namespace bramleyspan::catalogue {

namespace {

constexpr uint32_t kMostReads = 6;

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
    return ReadHead{.attempt = kMostReads - commit.reads_left};
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

// Prepares a change set: only shards that the head does not name are written.
void PrepareChange(Commit& commit, const Head& current) {
  commit.next =
      CutIntoShards(commit.change.catalogue, current, commit.change.id);
  for (const auto& [slot, digest] : commit.next.head.shards) {
    const auto before = current.shards.find(slot);
    if (before == current.shards.end() || before->second != digest) {
      commit.unwritten.emplace_back(digest, commit.next.shards.at(digest));
    }
  }
}

void AppendBounded(std::vector<AcceptedChange>& changes,
                   const AcceptedChange& change) {
  changes.push_back(change);
  if (changes.size() > kRememberedChanges) {
    changes.erase(changes.begin());
  }
}

// Prepares a restore: every shard is written, since the service may have lost
// any. Processes that followed the abandoned changes find them named.
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
    if (!holds_change(head, change) && !has_abandoned(head, change)) {
      AppendBounded(head.abandoned, change);
    }
  }
  head.revision = highest + 1;
  AppendBounded(head.changes, {commit.change.id, head.revision});
  commit.unwritten.assign(commit.next.shards.begin(), commit.next.shards.end());
}

Result<Head> ParseStoredHead(const StoredHead& stored) {
  if (stored.text.empty()) {
    return Head{};
  }
  return ParseHead(stored.text);
}

// The worst that the stored head is to any of the changes known in force.
Lineage WorstLineage(const Head& current, const KnownChanges& known) {
  Lineage worst = Lineage::kSame;
  for (const AcceptedChange& change : known) {
    worst = std::max(worst, CompareLineage(current, change));
  }
  return worst;
}

// A service that lacks what is in force has come back with an older state. A
// commit on top of it would be accepted and yet never take force, or undo an
// accepted change on a process that was away; so it is refused until an
// operator has restored.
CommitEffect RefuseBehind(const Commit& commit, const Head& current) {
  const std::string detail = "the key-value service holds revision " +
                             std::to_string(current.revision) +
                             " and lacks a change that is in force";
  return Finish(Fail(commit.is_swap_in_doubt ? ErrorCode::kOutcomeUnknown
                                             : ErrorCode::kStoreBehind,
                     commit.change.id, detail));
}

CommitEffect RefuseConflict(const Commit& commit, const Head& current) {
  const uint64_t base = commit.change.base_revision;
  const std::string detail =
      "revision " + std::to_string(current.revision) +
      " is in force, the change was made from revision " + std::to_string(base);
  // If this change was accepted, then as the one after its base. Where that is
  // forgotten, "conflict" would claim that it surely was not.
  const bool is_forgotten =
      !current.changes.empty() && base + 1 < current.changes.front().revision;
  return Finish(Fail(
      is_forgotten ? ErrorCode::kOutcomeUnknown : ErrorCode::kConflict,
      commit.change.id,
      is_forgotten ? detail + ", which is older than the history" : detail));
}

CommitEffect ContinueRestore(Commit& commit,
                             const Head& current,
                             const KnownChanges& known) {
  const Head& in_force = commit.restored->head;
  for (const AcceptedChange& change : known) {
    if (commit.scope == RestoreScope::kStore &&
        !holds_change(in_force, change) && !holds_change(current, change)) {
      return Finish(Fail(ErrorCode::kConflict, commit.change.id,
                         "another process has change " + change.id +
                             " in force, which would be lost: restore there, "
                             "or give up all other branches"));
    }
  }
  if (WorstLineage(current, known) <= Lineage::kNewer) {
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
  commit.reads_left = kMostReads;
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
  commit.reads_left = kMostReads;
  return ReadHead{};
}

CommitEffect HandleHeadRead(Commit& commit,
                            const Result<StoredHead>& stored,
                            const KnownChanges& known) {
  if (stored.has_error()) {
    return ReadAgainOrGiveUp(commit, stored.error());
  }
  auto parsed = ParseStoredHead(stored.value());
  if (parsed.has_error()) {
    return Finish(boost::outcome_v2::failure(parsed.error()));
  }
  const Head current = std::move(parsed).assume_value();
  const bool is_behind = WorstLineage(current, known) > Lineage::kNewer;
  // A swap whose reply was lost shows here; so does a repeated `apply`.
  const AcceptedChange* accepted = FindChange(current, commit.change.id);
  if (accepted != nullptr && !(is_behind && !commit.restored)) {
    return Finish(accepted->revision);
  }
  commit.head_version = stored.value().version;
  commit.unwritten.clear();
  if (commit.restored) {
    return ContinueRestore(commit, current, known);
  }
  if (is_behind) {
    return RefuseBehind(commit, current);
  }
  if (current.revision != commit.change.base_revision) {
    return RefuseConflict(commit, current);
  }
  PrepareChange(commit, current);
  return WriteNextOrSwap(commit);
}

CommitEffect HandleMovedDuringRead(Commit& commit) {
  return ReadAgainOrGiveUp(
      commit, Error{ErrorCode::kConflict, commit.change.id,
                    "the catalogue moved while its head was read"});
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
