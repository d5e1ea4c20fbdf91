#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "LibCatalogue/Commit.h"
#include "LibCatalogue/Document.h"
#include "LibPlatform/Backoff.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr Duration kRetryAfterOutage = std::chrono::seconds(2);
// An accepted change is passed on before the operator hears of it: were this
// process to die and the key-value service to go down at that moment, the
// change would be accepted and in force nowhere.
constexpr size_t kWantedHolders = 2;
constexpr Duration kHolderWait = std::chrono::seconds(2);
constexpr Duration kHolderCheckInterval = std::chrono::milliseconds(10);

// What is in force here and on all linked peers.
catalogue::KnownChanges KnownChangesOf(const EntryState& state) {
  catalogue::KnownChanges known{state.feed.newest_change()};
  for (const auto& [name, link] : state.links) {
    if (link.is_heard) {
      known.push_back(link.in_force);
    }
  }
  return known;
}

// A commit on its way, kept alive by the callbacks of its effects.
struct RunningCommit : std::enable_shared_from_this<RunningCommit> {
  EntryState& state;
  ExchangePointer exchange;
  catalogue::Commit commit;
  uint64_t accepted_revision = 0;
  TimePoint accepted_at{};

  RunningCommit(EntryState& state, ExchangePointer exchange)
      : state(state), exchange(std::move(exchange)) {}

  void Perform(const catalogue::CommitEffect& effect) {
    std::visit([this](const auto& one) { this->Perform(one); }, effect);
  }

  void Perform(const catalogue::ReadHead& effect) {
    if (effect.attempt == 0) {
      this->Read();
      return;
    }
    this->state.loop.RunAfter(
        platform::BackoffDelay(effect.attempt, RandomBits()),
        [self = this->shared_from_this()] { self->Read(); });
  }

  void Read() {
    this->state.key_value.Read(
        std::string(kHeadKey),
        [self = this->shared_from_this(), known = KnownChangesOf(this->state)](
            const Result<platform::ReadAnswer>& answer) {
          self->HandleRead(answer, known);
        });
  }

  void HandleRead(const Result<platform::ReadAnswer>& answer,
                  const catalogue::KnownChanges& known) {
    if (KnownChangesOf(this->state) != known) {
      this->Perform(catalogue::HandleChangeDuringRead(this->commit));
      return;
    }
    if (answer.has_error()) {
      this->Perform(catalogue::HandleHeadRead(
          this->commit, boost::outcome_v2::failure(answer.error()), known));
      return;
    }
    catalogue::StoredHead stored;
    if (answer.value().value) {
      stored.version = answer.value().value->version;
      stored.text = answer.value().value->text;
    }
    this->Perform(catalogue::HandleHeadRead(this->commit, stored, known));
  }

  void Perform(const catalogue::WriteShard& effect) {
    constexpr uint64_t kMustNotExist = 0;
    this->state.key_value.Swap(
        std::string(kShardPrefix) + effect.digest, effect.document,
        kMustNotExist,
        [self = this->shared_from_this(),
         digest = effect.digest](const Result<bool>& written) {
          if (written.has_error()) {
            self->VerifyShard(digest);
            return;
          }
          // "Not written" means that the immutable shard stood there already.
          self->Perform(catalogue::HandleShardWritten(self->commit, Succeed()));
        });
  }

  // The write may have taken effect though its reply was lost. What stands
  // under a digest is what was to be written, so seeing it is enough.
  void VerifyShard(const std::string& digest) {
    this->state.key_value.Read(
        std::string(kShardPrefix) + digest,
        [self = this->shared_from_this(),
         digest](const Result<platform::ReadAnswer>& answer) {
          Result<void> outcome = Succeed();
          if (answer.has_error()) {
            outcome = boost::outcome_v2::failure(answer.error());
          } else if (!answer.value().value) {
            outcome = Fail(ErrorCode::kUnavailable, digest, "was not written");
          }
          self->Perform(catalogue::HandleShardWritten(self->commit, outcome));
        });
  }

  void Perform(const catalogue::SwapHead& effect) {
    this->state.key_value.Swap(
        std::string(kHeadKey), effect.text, effect.expected_version,
        [self = this->shared_from_this()](const Result<bool>& swapped) {
          self->Perform(catalogue::HandleHeadSwapped(self->commit, swapped));
        });
  }

  void Perform(const catalogue::FinishCommit& effect) {
    if (effect.outcome.has_error()) {
      this->Refuse(effect.outcome.error());
      return;
    }
    this->accepted_revision = effect.outcome.value();
    this->accepted_at = EventLoop::Now();
    // The next head may be a failed try's, of a change that came in by another
    // entry; then this process learns of it as any other does.
    if (this->commit.next.head.revision == this->accepted_revision) {
      this->state.feed.OfferSnapshot(this->commit.next);
    }
    this->RespondOnceHeld();
  }

  // Processes, this one included, that have told to have the change in force.
  size_t CountHolders() const {
    const uint64_t revision = this->accepted_revision;
    size_t holders = this->state.feed.revision() >= revision ? 1 : 0;
    for (const auto& [name, link] : this->state.links) {
      holders += link.in_force.revision >= revision ? 1 : 0;
    }
    return holders;
  }

  void RespondOnceHeld() {
    const size_t holders = this->CountHolders();
    const size_t processes = this->state.links.size() + 1;
    const bool is_held = holders > std::min(kWantedHolders, processes - 1);
    const Duration waited = EventLoop::Now() - this->accepted_at;
    if (!is_held && waited < kHolderWait) {
      this->state.loop.RunAfter(
          kHolderCheckInterval,
          [self = this->shared_from_this()] { self->RespondOnceHeld(); });
      return;
    }
    this->exchange->Respond(
        JsonResponse(200, {{"change", this->commit.change.id},
                           {"revision", this->accepted_revision},
                           {"in_force_on", holders},
                           {"processes", processes}}));
  }

  void Refuse(const Error& error) {
    if (error.code == ErrorCode::kStoreBehind) {
      this->state.feed.Raise(CatalogueAlarm::kStoreBehind, error.detail);
    }
    const bool is_unknown = error.code == ErrorCode::kOutcomeUnknown;
    Refusal refusal{.error = error,
                    .run = is_unknown ? RunState::kUnknown : RunState::kNotRun,
                    .retry_after = std::nullopt};
    if (error.code == ErrorCode::kUnavailable || is_unknown) {
      refusal.retry_after = kRetryAfterOutage;
    }
    this->exchange->Respond(ToResponse(refusal));
  }
};

// A process that has heard nobody can not tell whether the key-value service
// lost what others have in force; on an older state its commit would be a fork.
bool is_cut_off(const EntryState& state) {
  const bool has_others = state.vms.size() > 1;
  const bool has_heard = std::ranges::any_of(
      state.links, [](const auto& item) { return item.second.is_heard; });
  return !state.readiness.has_vm_list || (has_others && !has_heard);
}

// Refuses what this process may not commit now. True if it has answered.
bool AnsweredAtOnce(const EntryState& state,
                    const std::string& change_id,
                    const ExchangePointer& exchange) {
  // The change may be in force though the key-value service has lost it.
  if (const auto* known = catalogue::FindChange(state.feed.head(), change_id)) {
    exchange->Respond(JsonResponse(
        200, {{"change", change_id}, {"revision", known->revision}}));
    return true;
  }
  if (!state.is_ready || is_cut_off(state)) {
    exchange->Respond(ToResponse(
        {.error = {ErrorCode::kUnavailable, change_id,
                   "nothing was changed: this entry has not yet heard what "
                   "its peers have in force; ask another one"},
         .run = RunState::kNotRun,
         .retry_after = kRetryAfterOutage}));
    return true;
  }
  return false;
}

Result<catalogue::ChangeSet> ParseChange(const std::string& body) {
  try {
    const json document = json::parse(body);
    catalogue::ChangeSet change;
    change.id = document.at("id");
    change.base_revision = document.at("base_revision");
    change.catalogue =
        TRY(catalogue::ParseJson(document.at("catalogue").dump()));
    TRY(catalogue::Check(change.catalogue));
    return change;
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedRequest, "change", failure.what());
  }
}

}  // namespace

void HandleChange(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange) {
  auto change = ParseChange(request.body);
  if (change.has_error()) {
    exchange->Respond(ToResponse({.error = change.error()}));
    return;
  }
  if (AnsweredAtOnce(state, change.value().id, exchange)) {
    return;
  }
  auto running = std::make_shared<RunningCommit>(state, exchange);
  running->Perform(catalogue::StartCommit(running->commit,
                                          std::move(change).assume_value()));
}

void HandleRestore(EntryState& state,
                   const http::Request& request,
                   const ExchangePointer& exchange) {
  const json document = json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("id") ||
      !document["id"].is_string()) {
    exchange->Respond(ToResponse(
        {.error = {ErrorCode::kMalformedRequest, "restore", "needs an id"}}));
    return;
  }
  const std::string id = document["id"];
  if (AnsweredAtOnce(state, id, exchange)) {
    return;
  }
  const bool gives_up_branches =
      document.contains("abandon_other_branches") &&
      document["abandon_other_branches"] == json(true);
  const auto scope = gives_up_branches ? catalogue::RestoreScope::kAllBranches
                                       : catalogue::RestoreScope::kStore;
  auto running = std::make_shared<RunningCommit>(state, exchange);
  running->Perform(catalogue::StartRestore(running->commit, id,
                                           state.feed.snapshot(), scope));
}

}  // namespace bramleyspan::entry
