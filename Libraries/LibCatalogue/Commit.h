// The commit of a change set as a state machine: read the head, write the new
// shards, swap the head. The swap of the head is the commit.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "LibCatalogue/Lineage.h"

namespace bramleyspan::catalogue {

// A change set: the whole catalogue that is to follow `base_revision`.
struct ChangeSet {
  std::string id;
  uint64_t base_revision = 0;
  Catalogue catalogue;
};

// The head document as the key-value service holds it; version 0 and no text
// if there is none yet.
struct StoredHead {
  uint64_t version = 0;
  std::string text;
};

// Effects that the caller performs; each is answered by one event.
struct ReadHead {
  // Reads before this one; the caller waits longer before each retry.
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
// The change is decided: the accepted revision, or kConflict, or kStoreBehind,
// or kOutcomeUnknown, or kUnavailable when surely nothing was changed.
struct FinishCommit {
  Result<uint64_t> outcome;
};
using CommitEffect = std::variant<ReadHead, WriteShard, SwapHead, FinishCommit>;

// What is in force here and on the peers, as far as it was known when a read
// of the head was sent: the read must show all of it.
using KnownChanges = std::vector<AcceptedChange>;

// Which changes a restore may give up.
enum class RestoreScope {
  // Those that only the key-value service holds; a change that another process
  // has in force is a kConflict.
  kStore,
  // All that the restoring process lacks. Where a partition has left two
  // branches in force and the service holds a third, a restore of the first
  // scope is refused from every process, and nothing could be edited any more.
  kAllBranches,
};

struct Commit {
  ChangeSet change;
  // What a restore writes back; none for a change set.
  std::optional<Snapshot> restored;
  RestoreScope scope = RestoreScope::kStore;
  // The head and all of its shards once the swap is sent.
  Snapshot next;
  uint64_t head_version = 0;
  std::vector<std::pair<std::string, std::string>> unwritten;
  uint32_t reads_left = 0;
  // A swap was sent whose outcome was never learnt.
  bool is_swap_in_doubt = false;
};

// Starts a commit; the first effect is always to read the head.
CommitEffect StartCommit(Commit& commit, ChangeSet change);

// Starts to commit the catalogue in force anew, for a key-value service that
// has lost accepted changes. What the service accepted since is abandoned, and
// by kAllBranches also what other processes have in force.
CommitEffect StartRestore(Commit& commit,
                          std::string change_id,
                          Snapshot in_force,
                          RestoreScope scope);

// The head was read, or the read failed. `known` is from before the read.
CommitEffect HandleHeadRead(Commit& commit,
                            const Result<StoredHead>& stored,
                            const KnownChanges& known);

// What is in force here or on the peers has changed while the head was read:
// the answer may be from before or after that, so the head is read again. To
// judge it by what was known before would let a commit through on a service
// that came back older in between, and fork the catalogue.
CommitEffect HandleMovedDuringRead(Commit& commit);

// A shard was written (or stood there already), or the write failed.
CommitEffect HandleShardWritten(Commit& commit, const Result<void>& written);

// The swap was answered: true if it took place, false if the version differed.
// A failure means that it may have taken place.
CommitEffect HandleHeadSwapped(Commit& commit, const Result<bool>& swapped);

}  // namespace bramleyspan::catalogue
