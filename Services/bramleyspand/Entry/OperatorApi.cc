#include <nlohmann/json.hpp>

#include "LibCatalogue/Commit.h"
#include "LibCatalogue/Document.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"
#include "Services/bramleyspand/OperatorKey.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr Duration kRetryAfterOutage = std::chrono::seconds(2);
constexpr std::string_view kHeadKey = "bramleyspan/catalogue/head";
constexpr std::string_view kShardPrefix = "bramleyspan/catalogue/shard/";

// A commit on its way, kept alive by the callbacks of its effects.
struct RunningCommit : std::enable_shared_from_this<RunningCommit> {
  EntryState& state;
  ExchangePointer exchange;
  catalogue::Commit commit;

  RunningCommit(EntryState& state, ExchangePointer exchange)
      : state(state), exchange(std::move(exchange)) {}

  void Perform(const catalogue::CommitEffect& effect) {
    std::visit([this](const auto& one) { this->Perform(one); }, effect);
  }

  void Perform(const catalogue::ReadHead&) {
    this->state.key_value.Read(
        std::string(kHeadKey), [self = this->shared_from_this()](
                                   const Result<platform::ReadAnswer>& answer) {
          if (answer.has_error()) {
            self->Perform(catalogue::HandleHeadRead(
                self->commit, boost::outcome_v2::failure(answer.error())));
            return;
          }
          catalogue::StoredHead stored;
          if (answer.value().value) {
            stored.version = answer.value().value->version;
            stored.text = answer.value().value->text;
          }
          self->Perform(catalogue::HandleHeadRead(self->commit, stored));
        });
  }

  void Perform(const catalogue::WriteShard& effect) {
    constexpr uint64_t kMustNotExist = 0;
    this->state.key_value.Swap(
        std::string(kShardPrefix) + effect.digest, effect.document,
        kMustNotExist,
        [self = this->shared_from_this()](const Result<bool>& written) {
          // "Not written" means that the immutable shard stood there already.
          Result<void> outcome = Succeed();
          if (written.has_error()) {
            outcome = boost::outcome_v2::failure(written.error());
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
    if (effect.outcome.has_value()) {
      this->exchange->Respond(
          JsonResponse(200, {{"change", this->commit.change.id},
                             {"revision", effect.outcome.value()}}));
      return;
    }
    const Error& error = effect.outcome.error();
    const bool is_unknown = error.code == ErrorCode::kOutcomeUnknown;
    Refusal refusal{.error = error,
                    .run = is_unknown ? RunState::kUnknown : RunState::kNotRun,
                    .retry_after = std::nullopt};
    if (error.code != ErrorCode::kConflict) {
      refusal.retry_after = kRetryAfterOutage;
    }
    this->exchange->Respond(ToResponse(refusal));
  }
};

void ApplyChange(EntryState& state,
                 const http::Request& request,
                 const ExchangePointer& exchange) {
  catalogue::ChangeSet change;
  try {
    const json document = json::parse(request.body);
    change.id = document.at("id");
    change.base_revision = document.at("base_revision");
    auto parsed = catalogue::ParseJson(document.at("catalogue").dump());
    if (parsed.has_error()) {
      exchange->Respond(ToResponse({.error = parsed.error()}));
      return;
    }
    change.catalogue = std::move(parsed).assume_value();
  } catch (const std::exception& failure) {
    exchange->Respond(ToResponse(
        {.error = {ErrorCode::kMalformedRequest, "change", failure.what()}}));
    return;
  }
  const auto checked = catalogue::Check(change.catalogue);
  if (checked.has_error()) {
    exchange->Respond(ToResponse({.error = checked.error()}));
    return;
  }
  auto running = std::make_shared<RunningCommit>(state, exchange);
  running->Perform(catalogue::StartCommit(running->commit, std::move(change)));
}

json RowOf(const std::string& name, const Link& link) {
  return {{"process", name},
          {"role", link.role},
          {"zone", link.zone},
          {"revision", link.revision},
          {"is_leaving", link.is_leaving},
          {"is_linked", link.connection->is_open()}};
}

json StatusOf(const EntryState& state) {
  json rows = json::array();
  rows.push_back({{"process", state.settings.name},
                  {"role", "entry"},
                  {"zone", state.settings.zone},
                  {"revision", state.feed.revision()},
                  {"is_leaving", state.is_leaving},
                  {"is_linked", true}});
  for (const auto& [name, link] : state.links) {
    rows.push_back(RowOf(name, link));
  }
  return {{"revision", state.feed.revision()}, {"processes", rows}};
}

json DumpOf(const EntryState& state) {
  json calls = json::array();
  for (const auto& [id, call] : state.calls) {
    calls.push_back({{"request", call.call.request},
                     {"catalogue_entry", call.call.catalogue_entry},
                     {"target", call.target},
                     {"has_head", call.attempt.has_head}});
  }
  json vms = json::array();
  for (const platform::Vm& vm : state.vms) {
    vms.push_back(
        {{"name", vm.name},
         {"ip", vm.ip},
         {"state", vm.state == platform::VmState::kLive ? "live" : "leaving"}});
  }
  json dump = StatusOf(state);
  dump["process"] = state.settings.name;
  dump["calls"] = calls;
  dump["vms"] = vms;
  dump["key_value_calls"] = state.key_value.calls;
  return dump;
}

}  // namespace

void HandleOperatorRequest(EntryState& state,
                           const http::Request& request,
                           const ExchangePointer& exchange) {
  if (!is_from_operator(state.settings, request)) {
    exchange->Respond(ToResponse({.error = {ErrorCode::kUnauthenticated,
                                            "operator", "show a valid key"}}));
    return;
  }
  if (request.path == "/v1/operator/catalogue" && request.method == "GET") {
    const json document = {
        {"revision", state.feed.revision()},
        {"catalogue",
         json::parse(catalogue::SerializeJson(state.feed.current()))}};
    exchange->Respond(JsonResponse(200, document));
  } else if (request.path == "/v1/operator/catalogue/changes" &&
             request.method == "POST") {
    ApplyChange(state, request, exchange);
  } else if (request.path == "/v1/operator/status") {
    exchange->Respond(JsonResponse(200, StatusOf(state)));
  } else if (request.path == "/v1/operator/dump") {
    exchange->Respond(JsonResponse(200, DumpOf(state)));
  } else {
    exchange->Respond(ToResponse(
        {.error = {ErrorCode::kNotFound, request.path, "no such path"}}));
  }
}

}  // namespace bramleyspan::entry
