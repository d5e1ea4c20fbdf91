#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "LibClaims/Claims.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr size_t kProbes = 2;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(50);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr size_t kRequestIdBytes = 8;
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";

void Refuse(const ExchangePointer& exchange,
            ErrorCode code,
            const std::string& subject,
            const std::string& detail,
            std::optional<Duration> retry_after = std::nullopt) {
  exchange->Respond(ToResponse({.error = {code, subject, detail},
                                .run = RunState::kNotRun,
                                .retry_after = retry_after}));
}

Result<const catalogue::Owner*> Authenticate(const EntryState& state,
                                             const http::Request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto shown = http::FindHeader(request.headers, "authorization");
  if (!shown.starts_with(kScheme)) {
    return Fail(ErrorCode::kUnauthenticated, "authorization",
                "show an owner's key as 'Authorization: Bearer KEY'");
  }
  const catalogue::Owner* owner = catalogue::FindOwnerByKeyDigest(
      state.feed.current(), Sha256Hex(shown.substr(kScheme.size())));
  if (owner == nullptr) {
    return Fail(ErrorCode::kUnauthenticated, "authorization",
                "no owner has this key");
  }
  return owner;
}

// The catalogue entry that a request names, which must be its owner's.
Result<const catalogue::Entry*> FindEntry(const EntryState& state,
                                          const http::Request& request) {
  const catalogue::Owner* owner = TRY(Authenticate(state, request));
  const std::string name(
      http::FindHeader(request.headers, "bramleyspan-entry"));
  const auto& entries = state.feed.current().entries;
  const auto found = entries.find(name);
  if (found == entries.end() || found->second.owner != owner->name) {
    return Fail(ErrorCode::kForbidden, "entry '" + name + "'",
                "name one of your own in the header Bramleyspan-Entry");
  }
  return &found->second;
}

std::vector<routing::Candidate> FindCandidates(const EntryState& state,
                                               const catalogue::Entry& entry) {
  std::vector<routing::Candidate> candidates;
  for (const auto& [name, group] : state.feed.current().groups) {
    if (group.kind != entry.kind || group.back_end != entry.back_end) {
      continue;
    }
    // A model group is entered at its first rank; replicas are all alike.
    const size_t doors =
        group.kind == catalogue::BackEndKind::kModel ? 1 : group.targets.size();
    for (size_t i = 0; i < doors; ++i) {
      if (FindUsableLink(state.links, group.targets[i]) != nullptr) {
        candidates.push_back({name, group.targets[i]});
      }
    }
  }
  return candidates;
}

// Ends a call that was not sent to any agent.
void RefuseCall(EntryState& state,
                uint64_t id,
                ErrorCode code,
                const std::string& detail) {
  const auto found = state.calls.find(id);
  Refuse(found->second.exchange, code, found->second.call.catalogue_entry,
         detail, kRetryAfter);
  state.calls.erase(found);
}

void SendCall(EntryState& state, uint64_t id, const std::string& target) {
  OpenCall& open = state.calls.at(id);
  const Link* link = FindUsableLink(state.links, target);
  if (link == nullptr) {
    RefuseCall(state, id, ErrorCode::kUnavailable, "the target has left");
    return;
  }
  open.target = target;
  link->connection->Send(wire::Encode(open.call));
}

void FinishRound(EntryState& state, uint64_t round_id) {
  const ProbeRound round = std::move(state.rounds.at(round_id));
  state.rounds.erase(round_id);
  state.loop.Cancel(round.timer);
  for (const auto& [probe, candidate] : round.outstanding) {
    state.round_of_probe.erase(probe);
  }
  const auto call = state.calls.find(round.call);
  if (call == state.calls.end()) {
    return;
  }
  const auto chosen =
      routing::ChooseCandidate(round.answers, call->second.deadline);
  if (!chosen) {
    RefuseCall(state, round.call, ErrorCode::kDeadlineUnmeetable,
               "no group can answer in time");
    return;
  }
  SendCall(state, round.call, chosen->target);
}

void StartRound(EntryState& state,
                uint64_t call,
                std::vector<routing::Candidate> candidates) {
  const uint64_t round_id = ++state.last_id;
  ProbeRound round;
  round.call = call;
  for (routing::Candidate& candidate :
       routing::PickCandidates(std::move(candidates), kProbes, RandomBits())) {
    const uint64_t probe = ++state.last_id;
    wire::ProbeT frame;
    frame.probe = probe;
    frame.service_class = state.calls.at(call).call.service_class;
    frame.prompt_tokens = state.calls.at(call).call.prompt_tokens;
    state.links.at(candidate.target).connection->Send(wire::Encode(frame));
    state.round_of_probe.emplace(probe, round_id);
    round.outstanding.emplace(probe, std::move(candidate));
  }
  round.timer = state.loop.RunAfter(
      kProbeTimeout, [&state, round_id] { FinishRound(state, round_id); });
  state.rounds.emplace(round_id, std::move(round));
}

void HandleEstimate(EntryState& state, const wire::EstimateT& estimate) {
  const auto owner = state.round_of_probe.find(estimate.probe);
  if (owner == state.round_of_probe.end()) {
    return;
  }
  const uint64_t round_id = owner->second;
  state.round_of_probe.erase(owner);
  ProbeRound& round = state.rounds.at(round_id);
  const auto probed = round.outstanding.find(estimate.probe);
  round.answers.push_back(
      {.candidate = probed->second,
       .is_admitting = estimate.is_admitting,
       .in_flight = estimate.in_flight,
       .first_token = Duration(estimate.first_token_microseconds)});
  round.outstanding.erase(probed);
  if (round.outstanding.empty()) {
    FinishRound(state, round_id);
  }
}

// Registers a call and the cancellation that follows if its caller leaves.
uint64_t OpenNewCall(EntryState& state,
                     const catalogue::Entry& entry,
                     const http::Request& request,
                     const ExchangePointer& exchange) {
  const uint64_t id = ++state.last_id;
  OpenCall open;
  open.exchange = exchange;
  open.deadline = entry.deadline;
  open.call.call = id;
  open.call.request = RandomHex(kRequestIdBytes);
  open.call.catalogue_entry = entry.name;
  open.call.owner = entry.owner;
  open.call.service_class = static_cast<uint8_t>(entry.service_class);
  open.call.remaining_microseconds = Duration(entry.deadline).count();
  open.call.method = request.method;
  open.call.path = request.path;
  open.call.content_type = http::FindHeader(request.headers, "content-type");
  open.call.body = request.body;
  exchange->OnGone([&state, id] {
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) {
      return;
    }
    const auto link = state.links.find(found->second.target);
    if (link != state.links.end()) {
      wire::CallCancelT cancel;
      cancel.call = id;
      link->second.connection->Send(wire::Encode(cancel));
    }
    state.calls.erase(found);
  });
  state.calls.emplace(id, std::move(open));
  return id;
}

void RouteByProbes(EntryState& state,
                   const catalogue::Entry& entry,
                   uint64_t id) {
  auto candidates = FindCandidates(state, entry);
  if (candidates.empty()) {
    RefuseCall(state, id, ErrorCode::kUnavailable, "no group is reachable");
    return;
  }
  StartRound(state, id, std::move(candidates));
}

void HandleChat(EntryState& state,
                const http::Request& request,
                const ExchangePointer& exchange) {
  const auto entry = FindEntry(state, request);
  if (entry.has_error()) {
    exchange->Respond(ToResponse({.error = entry.error()}));
    return;
  }
  if (entry.value()->kind != catalogue::BackEndKind::kModel) {
    Refuse(exchange, ErrorCode::kMalformedRequest, entry.value()->name,
           "this entry is served by a plain service");
    return;
  }
  const uint64_t id = OpenNewCall(state, *entry.value(), request, exchange);
  RouteByProbes(state, *entry.value(), id);
}

// A call with a claim key goes to the one agent that the key names.
void RouteByClaim(EntryState& state, const std::string& claim, uint64_t id) {
  const auto key = claims::ParseClaimKey(claim);
  if (key.has_error()) {
    RefuseCall(state, id, ErrorCode::kMalformedRequest, key.error().detail);
    return;
  }
  OpenCall& open = state.calls.at(id);
  const Link* link = FindUsableLink(state.links, key.value().agent);
  if (link != nullptr) {
    open.call.claim = claim;
    SendCall(state, id, key.value().agent);
    return;
  }
  // Another attempt with this key may have reached the agent by another
  // entry, so that "not run" would be a guess.
  open.exchange->Respond(ToResponse(
      {.error = {ErrorCode::kOutcomeUnknown, open.call.catalogue_entry,
                 "the agent that owns the claim is not reachable; "
                 "ask again with the same key"},
       .run = RunState::kUnknown,
       .retry_after = kRetryAfter}));
  state.calls.erase(id);
}

void HandleService(EntryState& state,
                   const http::Request& request,
                   const ExchangePointer& exchange) {
  const auto found = FindEntry(state, request);
  if (found.has_error()) {
    exchange->Respond(ToResponse({.error = found.error()}));
    return;
  }
  const catalogue::Entry& entry = *found.value();
  const std::string prefix = std::string(kServicePrefix) + entry.back_end + "/";
  if (entry.kind != catalogue::BackEndKind::kService ||
      !request.path.starts_with(prefix)) {
    Refuse(exchange, ErrorCode::kForbidden, entry.name,
           "the path is not this entry's service");
    return;
  }
  const std::string claim(
      http::FindHeader(request.headers, "bramleyspan-claim"));
  const bool is_at_most_once =
      entry.repetition == catalogue::Repetition::kAtMostOnce;
  if (is_at_most_once != !claim.empty()) {
    Refuse(exchange, ErrorCode::kMalformedRequest, entry.name,
           is_at_most_once ? "needs a key in the header Bramleyspan-Claim"
                           : "takes no claim key: it is repeatable");
    return;
  }
  const uint64_t id = OpenNewCall(state, entry, request, exchange);
  state.calls.at(id).call.path = request.path.substr(prefix.size() - 1);
  if (is_at_most_once) {
    RouteByClaim(state, claim, id);
    return;
  }
  RouteByProbes(state, entry, id);
}

void HandleClaims(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange) {
  constexpr uint32_t kMostKeys = 64;
  const auto entry = FindEntry(state, request);
  if (entry.has_error()) {
    exchange->Respond(ToResponse({.error = entry.error()}));
    return;
  }
  const auto candidates = routing::PickCandidates(
      FindCandidates(state, *entry.value()), 1, RandomBits());
  if (candidates.empty()) {
    Refuse(exchange, ErrorCode::kUnavailable, entry.value()->name,
           "no target is reachable", kRetryAfter);
    return;
  }
  const json document = json::parse(request.body, nullptr, false);
  uint32_t count = 1;
  if (document.is_object() && document.contains("count") &&
      document["count"].is_number_unsigned()) {
    count = std::min(document["count"].get<uint32_t>(), kMostKeys);
  }
  wire::ClaimRequestT frame;
  frame.request = ++state.last_id;
  frame.owner = entry.value()->owner;
  frame.catalogue_entry = entry.value()->name;
  frame.count = count;
  const std::string& target = candidates.front().target;
  state.claim_requests.emplace(frame.request,
                               OpenClaimRequest{exchange, target});
  state.links.at(target).connection->Send(wire::Encode(std::move(frame)));
}

void HandleClaimReply(EntryState& state, const wire::ClaimReplyT& reply) {
  const auto found = state.claim_requests.find(reply.request);
  if (found == state.claim_requests.end()) {
    return;
  }
  const ExchangePointer exchange = found->second.exchange;
  state.claim_requests.erase(found);
  if (!reply.error.empty()) {
    Refuse(exchange, ErrorCodeFromStableCode(reply.error), "claims",
           "the agent issues no keys now", kRetryAfter);
    return;
  }
  const auto keep = std::chrono::duration_cast<std::chrono::seconds>(
      Duration(reply.keep_microseconds));
  exchange->Respond(JsonResponse(
      200, {{"keys", reply.keys}, {"keep_seconds", keep.count()}}));
}

void HandleAddresses(const EntryState& state, const ExchangePointer& exchange) {
  json addresses = json::array();
  for (const platform::Vm& vm : state.vms) {
    const bool is_self = vm.name == state.settings.name;
    const bool is_serving =
        is_self ? !state.is_leaving
                : FindUsableLink(state.links, vm.name) != nullptr;
    if (vm.kind == platform::VmKind::kEntry && is_serving &&
        vm.state == platform::VmState::kLive) {
      addresses.push_back(
          {{"address", Format(Address{vm.ip, state.settings.caller_port})},
           {"zone", vm.zone}});
    }
  }
  const auto keep =
      std::chrono::duration_cast<std::chrono::seconds>(kAddressLifetime);
  exchange->Respond(JsonResponse(
      200, {{"addresses", addresses}, {"keep_seconds", keep.count()}}));
}

void HandleCallEnd(EntryState& state, const wire::CallEndT& end) {
  const auto found = state.calls.find(end.call);
  if (found == state.calls.end()) {
    return;
  }
  const OpenCall open = std::move(found->second);
  state.calls.erase(found);
  const bool is_whole = end.verdict == wire::Verdict::Whole;
  telemetry::Log(
      is_whole ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
      "calls", "call_ended",
      {{"request", open.call.request},
       {"catalogue_entry", open.call.catalogue_entry},
       {"target", open.target},
       {"verdict", wire::EnumNameVerdict(end.verdict)},
       {"error", end.error}});
  if (open.has_head) {
    // A break after the head must show as a truncated answer, never as whole.
    is_whole ? open.exchange->Finish() : open.exchange->Abort();
    return;
  }
  std::optional<Duration> retry_after;
  if (end.retry_after_microseconds > 0) {
    retry_after = Duration(end.retry_after_microseconds);
  }
  open.exchange->Respond(ToResponse(
      {.error = {ErrorCodeFromStableCode(end.error), open.call.catalogue_entry,
                 end.detail},
       .run = end.verdict == wire::Verdict::NotRun ? RunState::kNotRun
                                                   : RunState::kUnknown,
       .retry_after = retry_after}));
}

void HandleCallHead(EntryState& state, const wire::CallHeadT& head) {
  const auto found = state.calls.find(head.call);
  if (found == state.calls.end()) {
    return;
  }
  found->second.has_head = true;
  found->second.exchange->StartStream(
      head.status, {{"content-type", head.content_type},
                    {"bramleyspan-request", found->second.call.request}});
}

}  // namespace

void HandleCallerRequest(EntryState& state,
                         const http::Request& request,
                         const ExchangePointer& exchange) {
  if (request.path == "/v1/addresses") {
    HandleAddresses(state, exchange);
  } else if (request.path == "/v1/claims" && request.method == "POST") {
    HandleClaims(state, request, exchange);
  } else if (request.path == kChatPath && request.method == "POST") {
    HandleChat(state, request, exchange);
  } else if (request.path.starts_with(kServicePrefix)) {
    HandleService(state, request, exchange);
  } else {
    Refuse(exchange, ErrorCode::kNotFound, request.path, "no such path");
  }
}

void HandleAgentFrame(EntryState& state, const wire::FrameT& frame) {
  if (const auto* estimate = frame.body.AsEstimate()) {
    HandleEstimate(state, *estimate);
  } else if (const auto* head = frame.body.AsCallHead()) {
    HandleCallHead(state, *head);
  } else if (const auto* chunk = frame.body.AsCallChunk()) {
    const auto found = state.calls.find(chunk->call);
    if (found != state.calls.end()) {
      found->second.exchange->Write(chunk->bytes);
    }
  } else if (const auto* end = frame.body.AsCallEnd()) {
    HandleCallEnd(state, *end);
  } else if (const auto* reply = frame.body.AsClaimReply()) {
    HandleClaimReply(state, *reply);
  }
}

void HandleLostAgent(EntryState& state, const std::string& target) {
  std::vector<uint64_t> lost;
  for (const auto& [id, open] : state.calls) {
    if (open.target == target) {
      lost.push_back(id);
    }
  }
  for (const uint64_t id : lost) {
    wire::CallEndT end;
    end.call = id;
    end.verdict = state.calls.at(id).has_head ? wire::Verdict::Truncated
                                              : wire::Verdict::Unknown;
    end.error = StableCodeOf(ErrorCode::kOutcomeUnknown);
    end.detail = "the connection to the agent broke";
    end.retry_after_microseconds = kRetryAfter.count();
    HandleCallEnd(state, end);
  }
  std::erase_if(state.claim_requests, [&](const auto& item) {
    if (item.second.target != target) {
      return false;
    }
    Refuse(item.second.exchange, ErrorCode::kUnavailable, "claims",
           "the agent is gone", kRetryAfter);
    return true;
  });
}

}  // namespace bramleyspan::entry
