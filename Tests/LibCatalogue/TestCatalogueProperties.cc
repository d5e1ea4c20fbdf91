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

// What becomes of a call to the key-value service.
enum class Fate { kAnswered, kRequestLost, kReplyLost, kDelayed };

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

// One step of a generated run: what happens, to whom, and how.
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

struct World {
  // Whether the first half of the processes hears the other half seldom.
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

// A change touches two owners in different shards, so that a torn read shows.
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

bool is_cut_off(const World& world, size_t from, size_t to) {
  constexpr size_t kHalf = kProcesses / 2;
  return world.has_partitions && from / kHalf != to / kHalf;
}

// No change undoes another silently: each was made on top of its base.
void CheckBases(const World& world, const Head& head) {
  for (size_t i = 1; i < head.changes.size(); ++i) {
    const auto base = world.base_of_change.find(head.changes[i].id);
    RC_ASSERT(base == world.base_of_change.end() ||
              base->second == head.changes[i - 1].revision);
  }
}

// The promise itself, checked wherever a process takes a head: nothing that
// was in force is lost, and no change is seen half.
void CheckTakesForce(const World& world,
                     const Head& before,
                     const Follower& follower) {
  const Head& after = follower.in_force.head;
  if (after == before) {
    return;
  }
  const AcceptedChange held = NewestChange(before);
  RC_ASSERT(after.revision > before.revision);
  RC_ASSERT(holds_change(after, held) || has_abandoned(after, held));
  CheckBases(world, after);
  const std::string& change = NewestChange(after).id;
  RC_ASSERT(follower.catalogue == world.catalogue_of_change.at(change));
}

void Offer(World& world,
           size_t process,
           const Head& head,
           const ShardMap& shards) {
  Follower& follower = world.processes.at(process);
  const Head before = follower.in_force.head;
  const OfferEffects effects = OfferHead(follower, head);
  for (const std::string& digest : effects.missing_shards) {
    if (const auto found = shards.find(digest); found != shards.end()) {
      OfferShard(follower, found->second);
    }
  }
  CheckTakesForce(world, before, follower);
}

void OfferSnapshot(World& world, size_t process, const Snapshot& snapshot) {
  Offer(world, process, snapshot.head, snapshot.shards);
}

void ReadStore(World& world, size_t process) {
  if (!world.store.is_down && !world.store.head.text.empty()) {
    Offer(world, process, ParseHead(world.store.head.text).value(),
          world.store.shards);
  }
}

void Gossip(World& world, size_t from, size_t to) {
  const Snapshot snapshot = world.processes.at(from).in_force;
  OfferSnapshot(world, to, snapshot);
}

// A process comes back empty and takes the highest that it finds before it
// serves, as LibCatalogue/Readiness.h has it.
void Restart(World& world, size_t process) {
  for (auto& running : world.commits) {
    if (running && running->process == process) {
      running.reset();
    }
  }
  world.processes.at(process) = Follower{};
  std::array<size_t, kProcesses> order{};
  for (size_t i = 0; i < kProcesses; ++i) {
    order.at(i) = i;
  }
  std::ranges::sort(order, std::ranges::greater{}, [&](size_t peer) {
    return world.processes.at(peer).in_force.head.revision;
  });
  for (const size_t peer : order) {
    if (!is_cut_off(world, peer, process)) {
      Gossip(world, peer, process);
    }
  }
  ReadStore(world, process);
}

bool SwapStore(Store& store, const SwapHead& swap) {
  if (swap.expected_version != store.head.version) {
    return false;
  }
  store.head = {.version = ++store.index, .text = swap.text};
  return true;
}

KnownChanges KnownTo(const World& world, size_t process) {
  KnownChanges known;
  for (size_t i = 0; i < kProcesses; ++i) {
    if (!is_cut_off(world, i, process)) {
      known.push_back(NewestChange(world.processes.at(i).in_force.head));
    }
  }
  return known;
}

void StartCommitAt(World& world, size_t slot, size_t process) {
  auto& running = world.commits.at(slot);
  if (running) {
    return;
  }
  const std::string id = "c" + std::to_string(++world.last_change);
  const uint64_t base = world.processes.at(process).in_force.head.revision;
  world.catalogue_of_change.emplace(id, CatalogueOf(id));
  world.base_of_change.emplace(id, base);
  running.emplace();
  running->process = process;
  running->effect = StartCommit(
      running->commit,
      {.id = id, .base_revision = base, .catalogue = CatalogueOf(id)});
  running->known = KnownTo(world, process);
}

const Error kLost{ErrorCode::kOutcomeUnknown, "call", "lost"};

CommitEffect Perform(World& world,
                     RunningCommit& running,
                     const ReadHead&,
                     Fate fate) {
  if (fate != Fate::kAnswered) {
    return HandleHeadRead(running.commit, boost::outcome_v2::failure(kLost),
                          running.known);
  }
  if (KnownTo(world, running.process) != running.known) {
    return HandleMovedDuringRead(running.commit);
  }
  return HandleHeadRead(running.commit, world.store.head, running.known);
}

CommitEffect Perform(World& world,
                     RunningCommit& running,
                     const WriteShard& write,
                     Fate fate) {
  if (fate == Fate::kAnswered || fate == Fate::kReplyLost) {
    world.store.shards.emplace(write.digest, write.document);
  }
  if (fate == Fate::kAnswered) {
    return HandleShardWritten(running.commit, Succeed());
  }
  return HandleShardWritten(running.commit, boost::outcome_v2::failure(kLost));
}

CommitEffect Perform(World& world,
                     RunningCommit& running,
                     const SwapHead& swap,
                     Fate fate) {
  if (fate == Fate::kDelayed) {
    world.store.delayed.push_back(swap);
  }
  if (fate == Fate::kAnswered || fate == Fate::kReplyLost) {
    const bool is_swapped = SwapStore(world.store, swap);
    if (fate == Fate::kAnswered) {
      return HandleHeadSwapped(running.commit, is_swapped);
    }
  }
  return HandleHeadSwapped(running.commit, boost::outcome_v2::failure(kLost));
}

CommitEffect Perform(World&, RunningCommit&, const FinishCommit& end, Fate) {
  return end;
}

// The committing process has the change in force and passes it on to a peer
// before it answers the operator.
void HandleAccepted(World& world, const RunningCommit& running) {
  world.accepted.push_back(running.commit.change.id);
  if (FindChange(running.commit.next.head, running.commit.change.id)) {
    OfferSnapshot(world, running.process, running.commit.next);
  }
  ReadStore(world, running.process);
  Gossip(world, running.process, running.process ^ 1U);
}

void StepCommit(World& world, size_t slot, Fate fate) {
  auto& running = world.commits.at(slot);
  if (!running) {
    return;
  }
  const Fate actual = world.store.is_down ? Fate::kRequestLost : fate;
  const CommitEffect effect = *running->effect;
  running->effect = std::visit(
      [&](const auto& one) { return Perform(world, *running, one, actual); },
      effect);
  if (std::holds_alternative<ReadHead>(*running->effect)) {
    running->known = KnownTo(world, running->process);
  }
  if (const auto* end = std::get_if<FinishCommit>(&*running->effect)) {
    if (end->outcome.has_value()) {
      HandleAccepted(world, *running);
    } else if (end->outcome.error().code != ErrorCode::kOutcomeUnknown) {
      world.refused.push_back(running->commit.change.id);
    }
    running.reset();
  }
}

// The service comes back from a backup: the older head, a new version.
void RestoreStore(Store& store) {
  if (!store.backup.empty()) {
    store.head = {.version = ++store.index, .text = store.backup};
  }
}

void Take(World& world, const Step& step) {
  const size_t process = step.first % kProcesses;
  const size_t slot = step.first % kCommits;
  Store& store = world.store;
  switch (static_cast<Action>(step.action % kActions)) {
    case Action::kStartCommit:
      return StartCommitAt(world, slot, step.second % kProcesses);
    case Action::kStepCommit:
      return StepCommit(world, slot, static_cast<Fate>(step.second % 4));
    case Action::kKillCommitter:
      world.commits.at(slot).reset();
      return;
    case Action::kReadStore:
      return ReadStore(world, process);
    case Action::kGossip: {
      const size_t to = step.second % kProcesses;
      const bool is_rarely_heard = step.second / kProcesses != 0;
      if (!is_rarely_heard || !is_cut_off(world, process, to)) {
        Gossip(world, process, to);
      }
      return;
    }
    case Action::kRestart:
      return Restart(world, process);
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

// A change that was refused as "nothing was changed" is nowhere, and stays so.
void CheckRefused(const World& world) {
  for (const std::string& id : world.refused) {
    for (const Follower& follower : world.processes) {
      RC_ASSERT(FindChange(follower.in_force.head, id) == nullptr);
    }
  }
}

size_t HighestProcess(const World& world) {
  size_t highest = 0;
  for (size_t i = 1; i < kProcesses; ++i) {
    if (world.processes.at(i).in_force.head.revision >
        world.processes.at(highest).in_force.head.revision) {
      highest = i;
    }
  }
  return highest;
}

// An operator runs `catalogue restore` on a process, with all links up.
void RestoreCatalogueFrom(World& world, size_t process, RestoreScope scope) {
  RunningCommit restore;
  restore.process = process;
  const std::string id = "restore";
  const auto& in_force = world.processes.at(process);
  world.catalogue_of_change.insert_or_assign(id, in_force.catalogue);
  restore.effect = StartRestore(restore.commit, id, in_force.in_force, scope);
  world.has_partitions = false;
  restore.known = KnownTo(world, process);
  world.commits.at(0) = restore;
  while (world.commits.at(0)) {
    StepCommit(world, 0, Fate::kAnswered);
  }
}

// Every failure ends; every process reads the store and hears all others.
void Heal(World& world, RestoreScope scope) {
  world.commits = {};
  world.store.is_down = false;
  RestoreCatalogueFrom(world, HighestProcess(world), scope);
  for (size_t to = 0; to < kProcesses; ++to) {
    ReadStore(world, to);
  }
}

void CheckConverged(const World& world) {
  const Head& expected = world.processes.at(0).in_force.head;
  for (const Follower& follower : world.processes) {
    RC_ASSERT(follower.in_force.head == expected);
  }
}

void CheckAcceptedInForce(const World& world) {
  const Head& head = world.processes.at(0).in_force.head;
  for (const std::string& id : world.accepted) {
    const bool is_in_force = FindChange(head, id) != nullptr;
    RC_ASSERT(is_in_force);
  }
}

World RunSteps(bool has_partitions) {
  World world;
  world.has_partitions = has_partitions;
  const auto steps = *rc::gen::resize(
      400, rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
               rc::gen::inRange<uint32_t>(0, 2 * kActions),
               rc::gen::inRange<uint32_t>(0, 64),
               rc::gen::inRange<uint32_t>(0, 64))));
  for (const Step& step : steps) {
    // Every second action is a step of a commit, so that commits get done.
    const bool is_extra = step.action >= kActions;
    Take(world, is_extra ? Step{static_cast<uint32_t>(Action::kStepCommit),
                                step.first, step.second % 5 == 0 ? 1U : 0U}
                         : step);
    CheckRefused(world);
  }
  return world;
}

}  // namespace

// Operators edit, replies are lost, processes die and the key-value service
// goes down and comes back older, in any order. Every accepted change must be
// in force everywhere in the end, and no process may ever lose one.
TEST_CASE("property: accepted changes take force everywhere and stay") {
  tests::CheckProperty("without partitions", [] {
    World world = RunSteps(/*has_partitions=*/false);
    Heal(world, RestoreScope::kStore);
    CheckConverged(world);
    CheckAcceptedInForce(world);
  });
}

// As above with processes that know half of their peers: a restored service
// may then take a fork. No process may move from one branch to the other
// until an operator says which one is given up.
TEST_CASE("property: a fork is followed by nobody from the other branch") {
  tests::CheckProperty("with partitions", [] {
    World world = RunSteps(/*has_partitions=*/true);
    Heal(world, RestoreScope::kAllBranches);
    CheckConverged(world);
  });
}

}  // namespace bramleyspan::catalogue
