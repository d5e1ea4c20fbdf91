// Commits a change set as a state machine: read the head, write the new shards,
// replace the head by a compare-and-swap. The swap of the head is the commit.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "LibCatalogue/Lineage.h"

namespace bramleyspan::catalogue {

// A change set: the complete catalogue that replaces `base_revision`.
struct ChangeSet {
  std::string id;
  uint64_t base_revision = 0;
  Catalogue catalogue;
};

// The head document as stored in the key-value service; version 0 and empty
// text if there is none.
struct StoredHead {
  uint64_t version = 0;
  std::string text;
};

// Effects that the caller performs. Each one is answered by one call of a
// Handle function.
struct ReadHead {
  // Number of reads before this one; the caller increases its retry delay with
  // it.
  uint32_t attempt = 0;
};
struct WriteShard {
  std::string digest;
  std::string document;
};
struct SwapHead {
  uint64_t expected_version = 0;
  std::string text;
};
// The commit ended. The outcome is the accepted revision, kConflict,
// kStoreBehind, kOutcomeUnknown, or kUnavailable if certainly nothing was
// changed.
struct FinishCommit {
  Result<uint64_t> outcome;
};
using CommitEffect = std::variant<ReadHead, WriteShard, SwapHead, FinishCommit>;

// The newest changes in force in this process and its peers when a read of the
// head was sent. The head that is read must contain all of them.
using KnownChanges = std::vector<AcceptedChange>;

// Which changes a restore may abandon.
enum class RestoreScope {
  // Changes that only the key-value service holds. A change that is in force in
  // another process is a kConflict.
  kStore,
  // All changes that the restoring process lacks. If a partition left two
  // branches in force and the service holds a third, a restore with kStore is
  // rejected in every process, and without kAllBranches the catalogue could not
  // be edited any more.
  kAllBranches,
};

struct Commit {
  ChangeSet change;
  // The snapshot that a restore writes back; empty for a change set.
  std::optional<Snapshot> restored;
  RestoreScope scope = RestoreScope::kStore;
  // The head that the swap writes, with all of its shards.
  Snapshot next;
  uint64_t head_version = 0;
  std::vector<std::pair<std::string, std::string>> unwritten_shards;
  uint32_t reads_left = 0;
  // A swap was sent and its outcome is unknown.
  bool is_swap_outcome_unknown = false;
};

// Starts a commit. The first effect is always ReadHead.
CommitEffect StartCommit(Commit& commit, ChangeSet change);

// Starts to commit the catalogue in force again, to a key-value service that
// has lost accepted changes. Changes that the service accepted since then are
// abandoned; with kAllBranches also those in force in other processes.
CommitEffect StartRestore(Commit& commit,
                          std::string change_id,
                          Snapshot in_force,
                          RestoreScope scope);

// Handles the head, or a failed read of it. `known` was collected before the
// read was sent.
CommitEffect HandleHeadRead(Commit& commit,
                            const Result<StoredHead>& stored,
                            const KnownChanges& known);

// Reads the head again, because the changes in force in this process or its
// peers changed during the read, and the answer may be from before or after
// that. Checking it against the earlier `known` could accept a commit on a
// service that was restored to an older state in between, and fork the
// catalogue.
CommitEffect HandleChangeDuringRead(Commit& commit);

// Handles a shard that was written or existed already, or a failed write.
CommitEffect HandleShardWritten(Commit& commit, const Result<void>& written);

// Handles the answer to the swap: true if it took place, false if the version
// differed. After a failure it may have taken place.
CommitEffect HandleHeadSwapped(Commit& commit, const Result<bool>& swapped);

}  // namespace bramleyspan::catalogue
