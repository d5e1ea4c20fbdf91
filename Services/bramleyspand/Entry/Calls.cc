#include "Services/bramleyspand/Entry/Calls.h"
#include "Kernel/Digest.h"
#include "LibClaims/Claims.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/MetricNames.h"

namespace bramleyspan::entry {

namespace {

constexpr size_t kRequestIdBytes = 8;

void HandleCallEnd(EntryState& state, const wire::CallEndT& end) {
  const auto found = state.calls.find(end.call);
  if (found == state.calls.end()) {
    return;
  }
  const OpenCall open = std::move(found->second);
  state.calls.erase(found);
  const bool is_whole = end.verdict == wire::Verdict::Whole;
  telemetry::Count(metric_names::kCalls,
                   {{"catalogue_entry", open.call.catalogue_entry},
                    {"verdict", wire::EnumNameVerdict(end.verdict)},
                    {"error", end.error}});
  telemetry::Observe(metric_names::kCallTime, {},
                     EventLoop::Now() - open.arrived);
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
  telemetry::Observe(metric_names::kFirstByteTime, {},
                     EventLoop::Now() - found->second.arrived);
  found->second.exchange->StartStream(
      head.status, {{"content-type", head.content_type},
                    {"bramleyspan-request", found->second.call.request}});
}

}  // namespace

void Refuse(const ExchangePointer& exchange,
            ErrorCode code,
            const std::string& subject,
            const std::string& detail,
            std::optional<Duration> retry_after) {
  exchange->Respond(ToResponse({.error = {code, subject, detail},
                                .run = RunState::kNotRun,
                                .retry_after = retry_after}));
}

// Ends a call that was not sent to any agent.
void RefuseCall(EntryState& state,
                uint64_t id,
                ErrorCode code,
                const std::string& detail) {
  const auto found = state.calls.find(id);
  telemetry::Count(metric_names::kCalls,
                   {{"catalogue_entry", found->second.call.catalogue_entry},
                    {"verdict", wire::EnumNameVerdict(wire::Verdict::NotRun)},
                    {"error", std::string(StableCodeOf(code))}});
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
