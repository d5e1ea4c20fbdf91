#include "Kernel/Digest.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Agent/AgentState.h"

namespace bramleyspan::agent {

namespace {

using claims::ClaimDecision;

constexpr Duration kLongestCall = std::chrono::minutes(30);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr Duration kEstimatePerCall = std::chrono::milliseconds(10);
constexpr size_t kNonceBytes = 12;

// How a call ended, as the agent knows it.
struct Ending {
  wire::Verdict verdict = wire::Verdict::Whole;
  ErrorCode error = ErrorCode::kUnavailable;
  std::string detail;
  Duration retry_after{};
};

void SendEnd(wire::Connection& connection,
             uint64_t call,
             const Ending& ending) {
  wire::CallEndT end;
  end.call = call;
  end.verdict = ending.verdict;
  if (ending.verdict != wire::Verdict::Whole) {
    end.error = StableCodeOf(ending.error);
  }
  end.detail = ending.detail;
  end.retry_after_microseconds = ending.retry_after.count();
  connection.Send(wire::Encode(std::move(end)));
}

void SendHead(wire::Connection& connection,
              uint64_t call,
              uint16_t status,
              const std::string& content_type) {
  wire::CallHeadT head;
  head.call = call;
  head.status = status;
  head.content_type = content_type;
  connection.Send(wire::Encode(std::move(head)));
}

void SendChunk(wire::Connection& connection,
               uint64_t call,
               std::string_view bytes) {
  wire::CallChunkT chunk;
  chunk.call = call;
  chunk.bytes = bytes;
  connection.Send(wire::Encode(std::move(chunk)));
}

void SendStoredAnswer(wire::Connection& connection,
                      uint64_t call,
                      const claims::StoredAnswer& answer) {
  SendHead(connection, call, answer.status, answer.content_type);
  SendChunk(connection, call, answer.body);
  SendEnd(connection, call, {.verdict = wire::Verdict::Whole});
}

void HandleForwardEnd(AgentState& state,
                      uint64_t id,
                      const Result<void>& outcome) {
  const auto found = state.forwarded.find(id);
  ForwardedCall forwarded = std::move(found->second);
  state.forwarded.erase(found);
  const std::string& claim = forwarded.call.claim;
  Ending ending;
  if (outcome.has_value()) {
    claims::FinishClaim(state.claims, claim, std::move(forwarded.answer));
  } else if (outcome.error().code == ErrorCode::kConnectionFailed) {
    // No byte was sent, so the call did not run. The key is burnt before the
    // caller hears it: a late duplicate must not run after "not run".
    claims::RefuseClaim(state.claims, claim);
    ending = {wire::Verdict::NotRun, ErrorCode::kUnavailable,
              "the back end takes no connection", kRetryAfter};
  } else {
    claims::LoseClaim(state.claims, claim);
    const bool is_started = forwarded.answer.status != 0;
    ending = {is_started ? wire::Verdict::Truncated : wire::Verdict::Unknown,
              is_started ? ErrorCode::kTruncated : ErrorCode::kOutcomeUnknown,
              Describe(outcome.error()), kRetryAfter};
  }
  if (const auto connection = forwarded.connection.lock()) {
    SendEnd(*connection, forwarded.call.call, ending);
  }
}

http::ClientEvents EventsFor(AgentState& state, uint64_t id) {
  http::ClientEvents events;
  events.on_head = [&state, id](const http::ResponseHead& head) {
    ForwardedCall& forwarded = state.forwarded.at(id);
    forwarded.answer.status = static_cast<uint16_t>(head.status);
    forwarded.answer.content_type =
        http::FindHeader(head.headers, "content-type");
    if (const auto connection = forwarded.connection.lock()) {
      SendHead(*connection, forwarded.call.call, forwarded.answer.status,
               forwarded.answer.content_type);
    }
  };
  events.on_bytes = [&state, id](std::string_view bytes) {
    ForwardedCall& forwarded = state.forwarded.at(id);
    if (!forwarded.call.claim.empty()) {
      forwarded.answer.body.append(bytes);
    }
    if (const auto connection = forwarded.connection.lock()) {
      SendChunk(*connection, forwarded.call.call, bytes);
    }
  };
  events.on_end = [&state, id](const Result<void>& outcome) {
    HandleForwardEnd(state, id, outcome);
  };
  return events;
}

void Forward(AgentState& state,
             wire::Connection& connection,
             const wire::CallT& call) {
  const uint64_t id = ++state.last_forward;
  http::ClientRequest request{
      .target = *state.settings.target,
      .method = call.method,
      .path = call.path,
      .headers = {{"content-type", call.content_type},
                  {"bramleyspan-request", call.request},
                  {"bramleyspan-entry", call.catalogue_entry}},
      .body = call.body,
      .timeout = kLongestCall,
      .connection_use = call.claim.empty() ? http::ConnectionUse::kShared
                                           : http::ConnectionUse::kFresh};
  ForwardedCall forwarded;
  forwarded.connection = connection.weak_from_this();
  forwarded.call = call;
  state.forwarded.emplace(id, std::move(forwarded));
  auto client_call =
      state.client.Stream(std::move(request), EventsFor(state, id));
  const auto found = state.forwarded.find(id);
  if (found != state.forwarded.end()) {
    found->second.client_call = std::move(client_call);
  }
}

void HandleClaimedCall(AgentState& state,
                       wire::Connection& connection,
                       const wire::CallT& call) {
  const ClaimDecision decision =
      claims::AdmitClaim(state.claims, call.claim, call.owner,
                         call.catalogue_entry, EventLoop::Now());
  switch (decision) {
    case ClaimDecision::kRun:
      if (state.is_leaving) {
        claims::RefuseClaim(state.claims, call.claim);
        SendEnd(connection, call.call,
                {wire::Verdict::NotRun, ErrorCode::kLeaving,
                 "the target is leaving; take a new key", kRetryAfter});
        return;
      }
      Forward(state, connection, call);
      return;
    case ClaimDecision::kIsDone:
      SendStoredAnswer(connection, call.call,
                       claims::FindClaim(state.claims, call.claim)->answer);
      return;
    case ClaimDecision::kIsRunning:
      SendEnd(
          connection, call.call,
          {wire::Verdict::Unknown, ErrorCode::kClaimUnknown,
           "the call is running; ask again with the same key", kRetryAfter});
      return;
    case ClaimDecision::kIsRefused:
      SendEnd(connection, call.call,
              {wire::Verdict::NotRun, ErrorCode::kClaimRefused,
               "the key was refused before; take a new one", kRetryAfter});
      return;
    case ClaimDecision::kIsUnknown:
      SendEnd(connection, call.call,
              {wire::Verdict::Unknown,
               ErrorCode::kClaimUnknown,
               "whether the call ran is not known any more",
               {}});
      return;
    case ClaimDecision::kIsForged:
      SendEnd(connection, call.call,
              {wire::Verdict::NotRun,
               ErrorCode::kForbidden,
               "the key was not issued to this entry",
               {}});
      return;
  }
}

bool needs_claim(const AgentState& state, const std::string& entry_name) {
  const auto& entries = state.feed.current().entries;
  const auto entry = entries.find(entry_name);
  return entry != entries.end() &&
         entry->second.repetition == catalogue::Repetition::kAtMostOnce;
}

void HandleCall(AgentState& state,
                wire::Connection& connection,
                const wire::CallT& call) {
  if (!call.claim.empty()) {
    HandleClaimedCall(state, connection, call);
    return;
  }
  if (needs_claim(state, call.catalogue_entry)) {
    SendEnd(connection, call.call,
            {wire::Verdict::NotRun,
             ErrorCode::kMalformedRequest,
             "the entry is at-most-once and needs a claim key",
             {}});
    return;
  }
  if (state.is_leaving) {
    SendEnd(connection, call.call,
            {wire::Verdict::NotRun, ErrorCode::kLeaving,
             "the target is leaving", kRetryAfter});
    return;
  }
  Forward(state, connection, call);
}

void HandleProbe(AgentState& state,
                 wire::Connection& connection,
                 const wire::ProbeT& probe) {
  wire::EstimateT estimate;
  estimate.probe = probe.probe;
  estimate.is_admitting = !state.is_leaving;
  estimate.in_flight = static_cast<uint32_t>(state.forwarded.size());
  estimate.first_token_microseconds =
      (kEstimatePerCall * static_cast<int64_t>(state.forwarded.size())).count();
  connection.Send(wire::Encode(estimate));
}

void HandleClaimRequest(AgentState& state,
                        wire::Connection& connection,
                        const wire::ClaimRequestT& request) {
  wire::ClaimReplyT reply;
  reply.request = request.request;
  reply.keep_microseconds = claims::RetentionOf(state.claims).count();
  if (state.is_leaving) {
    reply.error = StableCodeOf(ErrorCode::kLeaving);
  } else {
    for (uint32_t i = 0; i < request.count; ++i) {
      reply.keys.push_back(claims::IssueClaim(
          state.claims, request.owner, request.catalogue_entry,
          RandomHex(kNonceBytes), EventLoop::Now()));
    }
  }
  connection.Send(wire::Encode(std::move(reply)));
}

void CancelForwarded(AgentState& state, uint64_t id) {
  const auto found = state.forwarded.find(id);
  // What may not be repeated is never cancelled half-way: its answer is kept
  // for the caller who asks again with the same key.
  if (!found->second.call.claim.empty()) {
    found->second.connection.reset();
    return;
  }
  if (found->second.client_call != nullptr) {
    found->second.client_call->Cancel();
  }
  state.forwarded.erase(found);
}

void HandleCancel(AgentState& state,
                  const wire::Connection& connection,
                  uint64_t call) {
  for (const auto& [id, forwarded] : state.forwarded) {
    const auto owner = forwarded.connection.lock();
    if (owner.get() == &connection && forwarded.call.call == call) {
      CancelForwarded(state, id);
      return;
    }
  }
}

}  // namespace

void HandleEntryFrame(AgentState& state,
                      wire::Connection& connection,
                      const wire::FrameT& frame) {
  if (state.feed.HandleFrame(connection, frame)) {
    return;
  }
  if (const auto* probe = frame.body.AsProbe()) {
    HandleProbe(state, connection, *probe);
  } else if (const auto* call = frame.body.AsCall()) {
    HandleCall(state, connection, *call);
  } else if (const auto* cancel = frame.body.AsCallCancel()) {
    HandleCancel(state, connection, cancel->call);
  } else if (const auto* request = frame.body.AsClaimRequest()) {
    HandleClaimRequest(state, connection, *request);
  }
}

void HandleLostEntry(AgentState& state, const wire::Connection& connection) {
  std::vector<uint64_t> orphans;
  for (const auto& [id, forwarded] : state.forwarded) {
    if (forwarded.connection.lock().get() == &connection) {
      orphans.push_back(id);
    }
  }
  for (const uint64_t id : orphans) {
    CancelForwarded(state, id);
  }
}

}  // namespace bramleyspan::agent
