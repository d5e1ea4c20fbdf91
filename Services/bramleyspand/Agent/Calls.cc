#include "Kernel/Digest.h"
#include "LibClaims/ClosingRecord.h"
#include "LibHTTP/HeaderValues.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Agent/Admission.h"

namespace bramleyspan::agent {

namespace {

constexpr Duration kDeadlineCheckInterval = std::chrono::milliseconds(20);
constexpr size_t kNonceBytes = 12;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// A closing record of more keys would exceed the maximum size of a frame.
constexpr size_t kMostClosingRecordKeys = 50'000;

wire::Verdict ToWire(calls::Verdict verdict) {
  switch (verdict) {
    case calls::Verdict::kWhole:
      return wire::Verdict::Whole;
    case calls::Verdict::kNotRun:
      return wire::Verdict::NotRun;
    case calls::Verdict::kUnknown:
      return wire::Verdict::Unknown;
    case calls::Verdict::kTruncated:
      return wire::Verdict::Truncated;
  }
  return wire::Verdict::Unknown;
}

std::string EncodeHead(const calls::SendHead& effect) {
  wire::CallHeadT head;
  head.call = effect.to.call;
  head.status = effect.status;
  head.content_type = effect.content_type;
  return wire::Encode(std::move(head));
}

std::string EncodeBytes(const calls::SendBytes& effect) {
  wire::CallChunkT chunk;
  chunk.call = effect.to.call;
  chunk.bytes = effect.bytes;
  return wire::Encode(std::move(chunk));
}

std::string EncodeEnd(const calls::SendEnd& effect) {
  wire::CallEndT end;
  end.call = effect.to.call;
  end.verdict = ToWire(effect.ending.verdict);
  if (effect.ending.verdict != calls::Verdict::kWhole) {
    end.error = StableCodeOf(effect.ending.error);
  }
  end.detail = effect.ending.detail;
  end.retry_after_microseconds = effect.ending.retry_after.count();
  return wire::Encode(std::move(end));
}

void SendTo(const AgentState& state,
            const calls::Recipient& recipient,
            const std::string& frame) {
  const auto caller = state.callers.find(recipient.connection);
  if (caller == state.callers.end()) {
    return;
  }
  if (const auto connection = caller->second.lock()) {
    connection->Send(frame);
  }
}

void CancelExchange(AgentState& state, uint64_t forward) {
  const auto found = state.exchanges.find(forward);
  if (found != state.exchanges.end()) {
    found->second->Cancel();
    state.exchanges.erase(found);
  }
  ReleaseSlot(state, forward, /*is_measured=*/false);
}

calls::BackEndOutcome OutcomeOf(const Result<void>& outcome) {
  if (outcome.has_value()) {
    return calls::BackEndOutcome::kComplete;
  }
  return outcome.error().code == ErrorCode::kConnectionFailed
             ? calls::BackEndOutcome::kNeverSent
             : calls::BackEndOutcome::kBroken;
}

calls::BackEndHead ParseHead(const http::ResponseHead& head) {
  const bool has_no_body = head.status == 204 || head.status == 304;
  return {.status = static_cast<uint16_t>(head.status),
          .content_type =
              std::string(http::FindHeader(head.headers, "content-type")),
          .is_framed =
              has_no_body ||
              !http::FindHeader(head.headers, "content-length").empty() ||
              !http::FindHeader(head.headers, "transfer-encoding").empty()};
}

// Records the time for which the back end wants no calls, if its answer to a
// call that was sent at `sent_at` names one.
void RecordBackoffOf(AgentState& state,
                     const http::ResponseHead& head,
                     TimePoint sent_at) {
  const TimePoint now = EventLoop::Now();
  const bool is_rejection =
      head.status == kUnavailable || head.status == kTooManyRequests;
  const std::optional<Duration> asked =
      is_rejection
          ? http::ParseRetryAfter(http::FindHeader(head.headers, "retry-after"))
          : std::nullopt;
  if (asked) {
    if (limits::RecordBackoff(state.backoff, *asked, now)) {
      telemetry::Log(telemetry::LogLevel::kWarning, "calls", "backoff_began",
                     {{"for_ms", std::to_string(asked->count() / 1000)}});
    }
  } else if (limits::RecordAnswerAfterBackoff(state.backoff, sent_at)) {
    telemetry::Log(
        telemetry::LogLevel::kInfo, "calls", "backoff_ended",
        {{"after_ms",
          std::to_string((now - state.backoff.since).count() / 1000)}});
  }
}

http::ClientEvents EventsFor(AgentState& state, uint64_t forward) {
  http::ClientEvents events;
  events.on_head = [&state, forward, sent_at = EventLoop::Now()](
                       const http::ResponseHead& head) {
    RecordBackoffOf(state, head, sent_at);
    Perform(state, calls::ReceiveHead(state.calls, forward, ParseHead(head),
                                      EventLoop::Now()));
  };
  events.on_bytes = [&state, forward](std::string_view bytes) {
    Perform(state,
            calls::ReceiveBytes(state.calls, forward, bytes, EventLoop::Now()));
    RecordProgress(state, forward);
  };
  events.on_end = [&state, forward](const Result<void>& outcome) {
    state.exchanges.erase(forward);
    const std::string detail =
        outcome.has_error() ? Describe(outcome.error()) : "";
    Perform(state, calls::ReceiveEnd(state.calls, forward, OutcomeOf(outcome),
                                     detail));
    ReleaseSlot(state, forward, outcome.has_value());
  };
  return events;
}

}  // namespace

void Forward(AgentState& state, const wire::CallT& call, uint64_t forward) {
  limits::RecordSentAfterBackoff(state.backoff, EventLoop::Now());
  http::ClientRequest request{
      .target = *state.settings.target,
      .method = call.method,
      .path = call.path,
      .headers = {{"content-type", call.content_type},
                  {"bramleyspan-request", call.request},
                  {"bramleyspan-entry", call.catalogue_entry}},
      .body = call.body,
      // The deadlines of `calls` end the call earlier; this timeout is a last
      // resort.
      .timeout = 2 * state.calls.settings.max_run_time,
      .connection_use = call.claim.empty() ? http::ConnectionUse::kShared
                                           : http::ConnectionUse::kFresh};
  auto exchange =
      state.client.Stream(std::move(request), EventsFor(state, forward));
  if (state.calls.forwarded.contains(forward)) {
    state.exchanges.emplace(forward, std::move(exchange));
  }
}

// Performs effects. StartForward is handled by HandleCall, the only one that
// gets it.
void Perform(AgentState& state, const calls::Effects& effects) {
  for (const calls::Effect& effect : effects) {
    if (const auto* cancel = std::get_if<calls::CancelForward>(&effect)) {
      CancelExchange(state, cancel->forward);
    } else if (const auto* head = std::get_if<calls::SendHead>(&effect)) {
      SendTo(state, head->to, EncodeHead(*head));
    } else if (const auto* bytes = std::get_if<calls::SendBytes>(&effect)) {
      SendTo(state, bytes->to, EncodeBytes(*bytes));
    } else if (const auto* end = std::get_if<calls::SendEnd>(&effect)) {
      SendTo(state, end->to, EncodeEnd(*end));
    }
  }
}

namespace {

calls::CallRequest ParseCall(const AgentState& state,
                             uint64_t connection,
                             const wire::CallT& call) {
  calls::CallRequest request{
      .from = {connection, call.call},
      .claim = call.claim,
      .owner = call.owner,
      .entry = call.catalogue_entry,
      .fingerprint = Sha256Hex(call.method + "\n" + call.path + "\n" +
                               call.content_type + "\n" + call.body),
      .remaining = Duration(call.remaining_microseconds)};
  const auto& entries = state.feed.current().entries;
  const auto entry = entries.find(call.catalogue_entry);
  if (entry != entries.end()) {
    request.needs_claim =
        entry->second.repetition == catalogue::Repetition::kAtMostOnce;
    request.is_chat = entry->second.kind == catalogue::BackEndKind::kModel;
  }
  return request;
}

void HandleCall(AgentState& state,
                const wire::Connection& connection,
                const wire::CallT& call) {
  const calls::Effects effects = calls::ReceiveCall(
      state.calls, ParseCall(state, connection.id, call), EventLoop::Now());
  for (const calls::Effect& effect : effects) {
    if (const auto* start = std::get_if<calls::StartForward>(&effect)) {
      SubmitCall(state, call, start->forward);
    }
  }
  Perform(state, effects);
}

void HandleProbe(const AgentState& state,
                 wire::Connection& connection,
                 const wire::ProbeT& probe) {
  connection.Send(wire::Encode(EstimateFor(state, probe)));
}

void HandleClaimRequest(AgentState& state,
                        wire::Connection& connection,
                        const wire::ClaimRequestT& request) {
  wire::ClaimReplyT reply;
  reply.request = request.request;
  reply.keep_microseconds = claims::RetentionOf(state.calls.claims).count();
  if (state.is_leaving) {
    reply.error = StableCodeOf(ErrorCode::kLeaving);
  } else {
    for (uint32_t i = 0; i < request.count; ++i) {
      reply.keys.push_back(claims::IssueClaim(
          state.calls.claims, request.owner, request.catalogue_entry,
          RandomHex(kNonceBytes), EventLoop::Now()));
    }
  }
  connection.Send(wire::Encode(std::move(reply)));
}

}  // namespace

void HandleEntryFrame(AgentState& state,
                      wire::Connection& connection,
                      const wire::FrameT& frame) {
  state.callers.try_emplace(connection.id, connection.weak_from_this());
  if (state.feed.HandleFrame(connection, frame)) {
    return;
  }
  if (const auto* probe = frame.body.AsProbe()) {
    HandleProbe(state, connection, *probe);
  } else if (const auto* call = frame.body.AsCall()) {
    HandleCall(state, connection, *call);
  } else if (const auto* cancel = frame.body.AsCallCancel()) {
    Perform(state,
            calls::CancelCall(state.calls, {connection.id, cancel->call}));
  } else if (const auto* request = frame.body.AsClaimRequest()) {
    HandleClaimRequest(state, connection, *request);
  }
}

void HandleLostEntry(AgentState& state, const wire::Connection& connection) {
  state.callers.erase(connection.id);
  Perform(state, calls::HandleConnectionClosed(state.calls, connection.id));
}

void CheckDeadlinesPeriodically(AgentState& state) {
  // Runs before the deadline check: a call that still waits has certainly not
  // run, and its caller gets "not run".
  RefuseLateCalls(state);
  Perform(state, calls::CheckDeadlines(state.calls, EventLoop::Now()));
  state.loop.RunAfter(kDeadlineCheckInterval,
                      [&state] { CheckDeadlinesPeriodically(state); });
}

void SendClosingRecord(AgentState& state) {
  const claims::ClosingRecord closing_record =
      claims::MakeClosingRecord(state.calls.claims);
  if (closing_record.may_have_run.size() > kMostClosingRecordKeys) {
    telemetry::Log(
        telemetry::LogLevel::kWarning, "calls", "not_sealed",
        {{"keys", std::to_string(closing_record.may_have_run.size())}});
    return;
  }
  wire::ClaimsSealedT frame;
  frame.agent = closing_record.agent;
  frame.incarnation = closing_record.incarnation;
  frame.oldest_epoch = closing_record.oldest_epoch;
  frame.may_have_run.assign(closing_record.may_have_run.begin(),
                            closing_record.may_have_run.end());
  for (const auto& connection : state.connections) {
    connection->Send(wire::Encode(frame));
  }
}

void AbortAllCalls(AgentState& state) {
  Perform(state, calls::AbortAll(state.calls));
}

}  // namespace bramleyspan::agent
