#include <algorithm>
#include <array>
#include <optional>

#include "LibCatalogue/Commit.h"
#include "LibCatalogue/Follower.h"
#include "Tests/Property.h"

namespace bramleyspan::catalogue {

namespace {

constexpr size_t kProcesses = 4;
constexpr size_t kCommits = 2;

// Outcome of a call to the key-value service.
enum class CallOutcome { kAnswered, kRequestLost, kReplyLost, kDelayed };

enum class Action {
  kStartCommit,
  kStepCommit,
  kKillCommitter,
  kReadStore,
  kGossip,
  kRestart,
  kToggleOutage,
  kBackUpStore,
  kRestoreStore,
  kDeliverDelayed,
};
constexpr uint32_t kActions = 10;

// One step of a generated run: the action, its subject and its parameter.
struct Step {
  uint32_t action = 0;
  uint32_t first = 0;
  uint32_t second = 0;
};

struct Store {
  StoredHead head;
  ShardMap shards;
  uint64_t index = 0;
  bool is_down = false;
  std::string backup;
  std::vector<SwapHead> delayed;
};

struct RunningCommit {
  size_t process = 0;
  Commit commit;
  std::optional<CommitEffect> effect;
  KnownChanges known;
};

struct Simulation {
  // Whether only few messages pass between the first and the second half of the
  // processes.
  bool has_partitions = false;
  Store store;
  std::array<Follower, kProcesses> processes;
  std::array<std::optional<RunningCommit>, kCommits> commits;
  std::map<std::string, Catalogue> catalogue_of_change;
  std::map<std::string, uint64_t> base_of_change;
  std::vector<std::string> accepted;
  std::vector<std::string> refused;
  uint64_t last_change = 0;
};

// A change affects two owners in different shards, so that a partly applied
// change is detected.
Catalogue CatalogueOf(const std::string& change) {
  Catalogue catalogue;
  for (const char* name : {"huber", "gruber"}) {
    Owner owner;
    owner.name = name;
    owner.key_sha256 = change;
    catalogue.owners.emplace(name, owner);
  }
  return catalogue;
}

bool is_partitioned(const Simulation& simulation, size_t from, size_t to) {
  constexpr size_t kHalf = kProcesses / 2;
  return simulation.has_partitions && from / kHalf != to / kHalf;
}

// Each change follows its base directly, so no change undoes another.
void CheckEachFollowsItsBase(const Simulation& simulation, const Head& head) {
  for (size_t i = 1; i < head.changes.size(); ++i) {
    const auto base = simulation.base_of_change.find(head.changes[i].id);
    RC_ASSERT(base == simulation.base_of_change.end() ||
              base->second == head.changes[i - 1].revision);
  }
}

// Checks the invariant whenever a process takes a head: no change that was in
// force is lost, and no change is applied in part.
void CheckHeadChange(const Simulation& simulation,
                     const Head& before,
                     const Follower& follower) {
  const Head& after = follower.in_force.head;
  if (after == before) {
    return;
  }
  const AcceptedChange held = NewestChange(before);
  RC_ASSERT(after.revision > before.revision);
  RC_ASSERT(has_change(after, held) || has_abandoned(after, held));
  CheckEachFollowsItsBase(simulation, after);
  const std::string& change = NewestChange(after).id;
  RC_ASSERT(follower.catalogue == simulation.catalogue_of_change.at(change));
}

void Offer(Simulation& simulation,
           size_t process,
           const Head& head,
           const ShardMap& shards) {
  Follower& follower = simulation.processes.at(process);
  const Head before = follower.in_force.head;
  const OfferEffects effects = OfferHead(follower, head);
  for (const std::string& digest : effects.missing_shards) {
    if (const auto found = shards.find(digest); found != shards.end()) {
      OfferShard(follower, found->second);
    }
  }
  CheckHeadChange(simulation, before, follower);
}

void OfferSnapshot(Simulation& simulation,
                   size_t process,
                   const Snapshot& snapshot) {
  Offer(simulation, process, snapshot.head, snapshot.shards);
}

void ReadStore(Simulation& simulation, size_t process) {
  if (!simulation.store.is_down && !simulation.store.head.text.empty()) {
    Offer(simulation, process, ParseHead(simulation.store.head.text).value(),
          simulation.store.shards);
  }
}

void Gossip(Simulation& simulation, size_t from, size_t to) {
  const Snapshot snapshot = simulation.processes.at(from).in_force;
  OfferSnapshot(simulation, to, snapshot);
}

// A process restarts without a catalogue and takes the highest revision that it
// finds before it serves, as in LibCatalogue/Readiness.h.
void Restart(Simulation& simulation, size_t process) {
  for (auto& running : simulation.commits) {
    if (running && running->process == process) {
      running.reset();
    }
  }
  simulation.processes.at(process) = Follower{};
  std::array<size_t, kProcesses> order{};
  for (size_t i = 0; i < kProcesses; ++i) {
    order.at(i) = i;
  }
  std::ranges::sort(order, std::ranges::greater{}, [&](size_t peer) {
    return simulation.processes.at(peer).in_force.head.revision;
  });
  for (const size_t peer : order) {
    if (!is_partitioned(simulation, peer, process)) {
      Gossip(simulation, peer, process);
    }
  }
  ReadStore(simulation, process);
}

bool SwapStore(Store& store, const SwapHead& swap) {
  if (swap.expected_version != store.head.version) {
    return false;
  }
  store.head = {.version = ++store.index, .text = swap.text};
  return true;
}

KnownChanges KnownChangesOf(const Simulation& simulation, size_t process) {
  KnownChanges known;
  for (size_t i = 0; i < kProcesses; ++i) {
    if (!is_partitioned(simulation, i, process)) {
      known.push_back(NewestChange(simulation.processes.at(i).in_force.head));
    }
  }
  return known;
}

void StartCommitAt(Simulation& simulation, size_t slot, size_t process) {
  auto& running = simulation.commits.at(slot);
  if (running) {
    return;
  }
  const std::string id = "c" + std::to_string(++simulation.last_change);
  const uint64_t base = simulation.processes.at(process).in_force.head.revision;
  simulation.catalogue_of_change.emplace(id, CatalogueOf(id));
  simulation.base_of_change.emplace(id, base);
  running.emplace();
  running->process = process;
  running->effect = StartCommit(
      running->commit,
      {.id = id, .base_revision = base, .catalogue = CatalogueOf(id)});
  running->known = KnownChangesOf(simulation, process);
}

const Error kLost{ErrorCode::kOutcomeUnknown, "call", "lost"};

CommitEffect Perform(Simulation& simulation,
                     RunningCommit& running,
                     const ReadHead&,
                     CallOutcome call_outcome) {
  if (call_outcome != CallOutcome::kAnswered) {
    return HandleHeadRead(running.commit, boost::outcome_v2::failure(kLost),
                          running.known);
  }
  if (KnownChangesOf(simulation, running.process) != running.known) {
    return HandleChangeDuringRead(running.commit);
  }
  return HandleHeadRead(running.commit, simulation.store.head, running.known);
}

CommitEffect Perform(Simulation& simulation,
                     RunningCommit& running,
                     const WriteShard& write,
                     CallOutcome call_outcome) {
  if (call_outcome == CallOutcome::kAnswered ||
      call_outcome == CallOutcome::kReplyLost) {
    simulation.store.shards.emplace(write.digest, write.document);
  }
  if (call_outcome == CallOutcome::kAnswered) {
    return HandleShardWritten(running.commit, Succeed());
  }
  return HandleShardWritten(running.commit, boost::outcome_v2::failure(kLost));
}

CommitEffect Perform(Simulation& simulation,
                     RunningCommit& running,
                     const SwapHead& swap,
                     CallOutcome call_outcome) {
  if (call_outcome == CallOutcome::kDelayed) {
    simulation.store.delayed.push_back(swap);
  }
  if (call_outcome == CallOutcome::kAnswered ||
      call_outcome == CallOutcome::kReplyLost) {
    const bool is_swapped = SwapStore(simulation.store, swap);
    if (call_outcome == CallOutcome::kAnswered) {
      return HandleHeadSwapped(running.commit, is_swapped);
    }
  }
  return HandleHeadSwapped(running.commit, boost::outcome_v2::failure(kLost));
}

CommitEffect Perform(Simulation&,
                     RunningCommit&,
                     const FinishCommit& end,
                     CallOutcome) {
  return end;
}

// The committing process puts the change in force and sends it to a peer before
// it answers the operator.
void HandleAccepted(Simulation& simulation, const RunningCommit& running) {
  simulation.accepted.push_back(running.commit.change.id);
  if (FindChange(running.commit.next.head, running.commit.change.id)) {
    OfferSnapshot(simulation, running.process, running.commit.next);
  }
  ReadStore(simulation, running.process);
  Gossip(simulation, running.process, running.process ^ 1U);
}

void StepCommit(Simulation& simulation, size_t slot, CallOutcome call_outcome) {
  auto& running = simulation.commits.at(slot);
  if (!running) {
    return;
  }
  const CallOutcome actual =
      simulation.store.is_down ? CallOutcome::kRequestLost : call_outcome;
  const CommitEffect effect = *running->effect;
  running->effect = std::visit(
      [&](const auto& one) {
        return Perform(simulation, *running, one, actual);
      },
      effect);
  if (std::holds_alternative<ReadHead>(*running->effect)) {
    running->known = KnownChangesOf(simulation, running->process);
  }
  if (const auto* end = std::get_if<FinishCommit>(&*running->effect)) {
    if (end->outcome.has_value()) {
      HandleAccepted(simulation, *running);
    } else if (end->outcome.error().code != ErrorCode::kOutcomeUnknown) {
      simulation.refused.push_back(running->commit.change.id);
    }
    running.reset();
  }
}

// Restores the service from a backup: an older head with a new version.
void RestoreStore(Store& store) {
  if (!store.backup.empty()) {
    store.head = {.version = ++store.index, .text = store.backup};
  }
}

void ApplyStep(Simulation& simulation, const Step& step) {
  const size_t process = step.first % kProcesses;
  const size_t slot = step.first % kCommits;
  Store& store = simulation.store;
  switch (static_cast<Action>(step.action % kActions)) {
    case Action::kStartCommit:
      return StartCommitAt(simulation, slot, step.second % kProcesses);
    case Action::kStepCommit:
      return StepCommit(simulation, slot,
                        static_cast<CallOutcome>(step.second % 4));
    case Action::kKillCommitter:
      simulation.commits.at(slot).reset();
      return;
    case Action::kReadStore:
      return ReadStore(simulation, process);
    case Action::kGossip: {
      const size_t to = step.second % kProcesses;
      const bool is_partition_respected = step.second / kProcesses != 0;
      if (!is_partition_respected || !is_partitioned(simulation, process, to)) {
        Gossip(simulation, process, to);
      }
      return;
    }
    case Action::kRestart:
      return Restart(simulation, process);
    case Action::kToggleOutage:
      store.is_down = !store.is_down;
      return;
    case Action::kBackUpStore:
      store.backup = store.head.text;
      return;
    case Action::kRestoreStore:
      return RestoreStore(store);
    case Action::kDeliverDelayed:
      if (!store.delayed.empty()) {
        SwapStore(store, store.delayed.back());
        store.delayed.pop_back();
      }
      return;
  }
}

// A change that failed with "nothing was changed" never appears in any process.
void CheckRefused(const Simulation& simulation) {
  for (const std::string& id : simulation.refused) {
    for (const Follower& follower : simulation.processes) {
      RC_ASSERT(FindChange(follower.in_force.head, id) == nullptr);
    }
  }
}

size_t ProcessWithHighestRevision(const Simulation& simulation) {
  size_t highest = 0;
  for (size_t i = 1; i < kProcesses; ++i) {
    if (simulation.processes.at(i).in_force.head.revision >
        simulation.processes.at(highest).in_force.head.revision) {
      highest = i;
    }
  }
  return highest;
}

// An operator runs `catalogue restore` on a process while all links are up.
void RestoreCatalogueFrom(Simulation& simulation,
                          size_t process,
                          RestoreScope scope) {
  RunningCommit restore;
  restore.process = process;
  const std::string id = "restore";
  const auto& in_force = simulation.processes.at(process);
  simulation.catalogue_of_change.insert_or_assign(id, in_force.catalogue);
  restore.effect = StartRestore(restore.commit, id, in_force.in_force, scope);
  simulation.has_partitions = false;
  restore.known = KnownChangesOf(simulation, process);
  simulation.commits.at(0) = restore;
  while (simulation.commits.at(0)) {
    StepCommit(simulation, 0, CallOutcome::kAnswered);
  }
}

// All failures end, and every process reads the store after the restore.
void RecoverAll(Simulation& simulation, RestoreScope scope) {
  simulation.commits = {};
  simulation.store.is_down = false;
  RestoreCatalogueFrom(simulation, ProcessWithHighestRevision(simulation),
                       scope);
  for (size_t to = 0; to < kProcesses; ++to) {
    ReadStore(simulation, to);
  }
}

void CheckConverged(const Simulation& simulation) {
  const Head& expected = simulation.processes.at(0).in_force.head;
  for (const Follower& follower : simulation.processes) {
    RC_ASSERT(follower.in_force.head == expected);
  }
}

void CheckAcceptedInForce(const Simulation& simulation) {
  const Head& head = simulation.processes.at(0).in_force.head;
  for (const std::string& id : simulation.accepted) {
    const bool is_in_force = FindChange(head, id) != nullptr;
    RC_ASSERT(is_in_force);
  }
}

Simulation RunSteps(bool has_partitions) {
  Simulation simulation;
  simulation.has_partitions = has_partitions;
  const auto steps = *rc::gen::resize(
      400, rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
               rc::gen::inRange<uint32_t>(0, 2 * kActions),
               rc::gen::inRange<uint32_t>(0, 64),
               rc::gen::inRange<uint32_t>(0, 64))));
  for (const Step& step : steps) {
    // Every second action is a step of a commit, so that commits complete.
    const bool is_extra = step.action >= kActions;
    ApplyStep(simulation, is_extra
                              ? Step{static_cast<uint32_t>(Action::kStepCommit),
                                     step.first, step.second % 5 == 0 ? 1U : 0U}
                              : step);
    CheckRefused(simulation);
  }
  return simulation;
}

}  // namespace

// Operators edit, replies are lost, processes die, and the key-value service
// fails and is restored to an older state, in any order. Every accepted change
// must finally be in force everywhere, and no process may ever lose one.
TEST_CASE("property: accepted changes take force everywhere and stay") {
  tests::CheckProperty("without partitions", [] {
    Simulation simulation = RunSteps(/*has_partitions=*/false);
    RecoverAll(simulation, RestoreScope::kStore);
    CheckConverged(simulation);
    CheckAcceptedInForce(simulation);
  });
}

// As above with processes that see only half of their peers, so that a restored
// service may accept a fork. No process may change from one branch to the other
// before an operator abandons one.
TEST_CASE("property: no process changes to a fork from another branch") {
  tests::CheckProperty("with partitions", [] {
    Simulation simulation = RunSteps(/*has_partitions=*/true);
    RecoverAll(simulation, RestoreScope::kAllBranches);
    CheckConverged(simulation);
  });
}

}  // namespace bramleyspan::catalogue
