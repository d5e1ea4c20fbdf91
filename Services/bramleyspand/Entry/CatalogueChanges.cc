#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "LibCatalogue/Commit.h"
#include "LibCatalogue/Document.h"
#include "LibJSON/Read.h"
#include "LibPlatform/Backoff.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr Duration kRetryAfterOutage = std::chrono::seconds(2);
// An accepted change is sent to peers before the operator gets the answer. If
// this process failed and the key-value service became unavailable right then,
// the change would be accepted but in force nowhere.
constexpr size_t kRequiredPeers = 2;
constexpr Duration kMaxPropagationWait = std::chrono::seconds(2);
constexpr Duration kPropagationCheckInterval = std::chrono::milliseconds(10);

// Returns the newest changes in force here and in all linked peers.
catalogue::KnownChanges KnownChangesOf(const EntryState& state) {
  catalogue::KnownChanges known{state.feed.newest_change()};
  for (const auto& [name, link] : state.links) {
    if (link.has_sent_hello) {
      known.push_back(link.in_force);
    }
  }
  return known;
}

// A running commit, kept alive by the callbacks of its effects.
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
    this->state.key_value.CompareAndSwap(
        std::string(kShardPrefix) + effect.digest, effect.document,
        kMustNotExist,
        [self = this->shared_from_this(),
         digest = effect.digest](const Result<bool>& written) {
          if (written.has_error()) {
            self->VerifyShard(digest);
            return;
          }
          // False means that the immutable shard existed already.
          self->Perform(catalogue::HandleShardWritten(self->commit, Succeed()));
        });
  }

  // Checks whether a write without a reply took effect. A document under its
  // own digest is the one to be written, so its presence is sufficient.
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
    this->state.key_value.CompareAndSwap(
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
    // The prepared head may be from a failed attempt, while the change was
    // accepted through another entry. This process then gets the change as
    // every other process does.
    if (this->commit.next.head.revision == this->accepted_revision) {
      this->state.feed.OfferSnapshot(this->commit.next);
    }
    this->RespondOncePropagated();
  }

  // Returns the number of processes, this one included, that are known to have
  // the change in force.
  size_t CountInForce() const {
    const uint64_t revision = this->accepted_revision;
    size_t in_force_count = this->state.feed.revision() >= revision ? 1 : 0;
    for (const auto& [name, link] : this->state.links) {
      in_force_count += link.in_force.revision >= revision ? 1 : 0;
    }
    return in_force_count;
  }

  void RespondOncePropagated() {
    const size_t in_force_count = this->CountInForce();
    const size_t processes = this->state.links.size() + 1;
    const bool is_propagated =
        in_force_count > std::min(kRequiredPeers, processes - 1);
    const Duration waited = EventLoop::Now() - this->accepted_at;
    if (!is_propagated && waited < kMaxPropagationWait) {
      this->state.loop.RunAfter(
          kPropagationCheckInterval,
          [self = this->shared_from_this()] { self->RespondOncePropagated(); });
      return;
    }
    this->exchange->Respond(
        JsonResponse(200, {{"change", this->commit.change.id},
                           {"revision", this->accepted_revision},
                           {"in_force_on", in_force_count},
                           {"processes", processes}}));
  }

  void Refuse(const Error& error) {
    if (error.code == ErrorCode::kStoreBehind) {
      this->state.feed.Raise(CatalogueAlarm::kStoreBehind, error.detail);
    }
    const bool is_unknown = error.code == ErrorCode::kOutcomeUnknown;
    ErrorAnswer error_answer{
        .error = error,
        .run = is_unknown ? RunState::kUnknown : RunState::kNotRun,
        .retry_after = std::nullopt};
    if (error.code == ErrorCode::kUnavailable || is_unknown) {
      error_answer.retry_after = kRetryAfterOutage;
    }
    this->exchange->Respond(ToResponse(error_answer));
  }
};

// Whether this process has read no VM list, or the list has other VMs and none
// of them has sent its revision. It cannot tell then whether the key-value
// service lost changes that others have in force; a commit on an older state
// would be a fork.
bool is_isolated(const EntryState& state) {
  const bool has_others = state.vms.size() > 1;
  const bool has_peer_revision = std::ranges::any_of(
      state.links, [](const auto& item) { return item.second.has_sent_hello; });
  return !state.readiness.has_vm_list || (has_others && !has_peer_revision);
}

// Answers a change that is in force already, and refuses one that this process
// must not commit now. Returns whether it answered.
bool RespondedWithoutCommit(const EntryState& state,
                            const std::string& change_id,
                            const ExchangePointer& exchange) {
  // The change may be in force even if the key-value service has lost it.
  if (const auto* known = catalogue::FindChange(state.feed.head(), change_id)) {
    exchange->Respond(JsonResponse(
        200, {{"change", change_id}, {"revision", known->revision}}));
    return true;
  }
  if (!state.is_ready || is_isolated(state)) {
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
    const json document = json_text::Parse(body);
    if (document.is_discarded()) {
      return Fail(ErrorCode::kMalformedRequest, "change",
                  "no JSON, or nested too deeply");
    }
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
  if (RespondedWithoutCommit(state, change.value().id, exchange)) {
    return;
  }
  auto running = std::make_shared<RunningCommit>(state, exchange);
  running->Perform(catalogue::StartCommit(running->commit,
                                          std::move(change).assume_value()));
}

void HandleRestore(EntryState& state,
                   const http::Request& request,
                   const ExchangePointer& exchange) {
  const json document = json_text::Parse(request.body);
  if (!document.is_object() || !document.contains("id") ||
      !document["id"].is_string()) {
    exchange->Respond(ToResponse(
        {.error = {ErrorCode::kMalformedRequest, "restore", "needs an id"}}));
    return;
  }
  const std::string id = document["id"];
  if (RespondedWithoutCommit(state, id, exchange)) {
    return;
  }
  const bool abandons_branches =
      document.contains("abandon_other_branches") &&
      document["abandon_other_branches"] == json(true);
  const auto scope = abandons_branches ? catalogue::RestoreScope::kAllBranches
                                       : catalogue::RestoreScope::kStore;
  auto running = std::make_shared<RunningCommit>(state, exchange);
  running->Perform(catalogue::StartRestore(running->commit, id,
                                           state.feed.snapshot(), scope));
}

}  // namespace bramleyspan::entry
