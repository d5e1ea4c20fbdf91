#include "Services/bramleyspand/Entry/Calls.h"

#include <algorithm>
#include <utility>

#include "Kernel/Digest.h"
#include "LibClaims/Claims.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/MetricNames.h"

namespace bramleyspan::entry {

namespace {

constexpr size_t kRequestIdBytes = 8;
constexpr Duration kOverdueCheckInterval = std::chrono::milliseconds(20);
// The agent reports a missed deadline itself; the entry ends the call only if
// the agent is unresponsive.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(200);
constexpr Duration kMaxAnswerGap = std::chrono::seconds(70);

calls::Verdict FromWire(wire::Verdict verdict) {
  switch (verdict) {
    case wire::Verdict::Whole:
      return calls::Verdict::kWhole;
    case wire::Verdict::NotRun:
      return calls::Verdict::kNotRun;
    case wire::Verdict::Unknown:
      return calls::Verdict::kUnknown;
    case wire::Verdict::Truncated:
      return calls::Verdict::kTruncated;
  }
  return calls::Verdict::kUnknown;
}

// Returns the call of an agent's frame, or nullptr if that agent no longer has
// it.
OpenCall* FindAttempt(EntryState& state, uint64_t attempt) {
  const auto found = state.call_of_attempt.find(attempt);
  return found == state.call_of_attempt.end() ? nullptr
                                              : &state.calls.at(found->second);
}

void LogEnd(const OpenCall& open, const calls::Ending& ending) {
  const bool is_whole = ending.verdict == calls::Verdict::kWhole;
  telemetry::Log(
      is_whole ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
      "calls", "call_ended",
      {{"request", open.call.request},
       {"catalogue_entry", open.call.catalogue_entry},
       {"target", open.target},
       {"attempts", std::to_string(open.attempt.attempts)},
       {"error", std::string(is_whole ? "" : StableCodeOf(ending.error))},
       {"detail", ending.detail}});
}

std::string_view NameOf(calls::Verdict verdict) {
  switch (verdict) {
    case calls::Verdict::kWhole:
      return "whole";
    case calls::Verdict::kNotRun:
      return "not_run";
    case calls::Verdict::kUnknown:
      return "unknown";
    case calls::Verdict::kTruncated:
      return "truncated";
  }
  return "unknown";
}

void CountEnd(const OpenCall& open, const calls::Ending& ending) {
  const bool is_whole = ending.verdict == calls::Verdict::kWhole;
  telemetry::Count(
      metric_names::kCalls,
      {{"catalogue_entry", open.call.catalogue_entry},
       {"verdict", std::string(NameOf(ending.verdict))},
       {"error", std::string(is_whole ? "" : StableCodeOf(ending.error))}});
  telemetry::Observe(metric_names::kCallTime, {},
                     EventLoop::Now() - open.arrived_at);
}

http::Response ToResponse(const OpenCall& open, const calls::Ending& ending) {
  const auto verdict = calls::CombinedVerdict(open.attempt, ending.verdict);
  std::optional<Duration> retry_after;
  if (ending.retry_after > Duration(0)) {
    retry_after = ending.retry_after;
  }
  return bramleyspan::ToResponse(
      {.error = {ending.error, open.call.catalogue_entry, ending.detail},
       .run = verdict == calls::Verdict::kNotRun ? RunState::kNotRun
                                                 : RunState::kUnknown,
       .retry_after = retry_after});
}

void CancelAtAgent(const EntryState& state, const OpenCall& open) {
  const auto link = state.links.find(open.target);
  if (link == state.links.end()) {
    return;
  }
  wire::CallCancelT cancel;
  cancel.call = open.call.call;
  link->second.connection->Send(wire::Encode(cancel));
}

void CloseCall(EntryState& state, uint64_t id) {
  const uint64_t attempt = state.calls.at(id).call.call;
  state.call_of_attempt.erase(attempt);
  routing::HandleNoFirstByte(state.router, attempt);
  state.calls.erase(id);
}

void EndAttempt(EntryState& state, uint64_t id, const calls::Ending& ending) {
  OpenCall& open = state.calls.at(id);
  state.call_of_attempt.erase(open.call.call);
  RecordAttemptEnd(state, open, ending);
  open.attempt.remaining = open.first_byte_deadline - EventLoop::Now();
  const auto next = calls::DecideNextStep(
      state.retry_policy, open.attempt, ending, [&state, &open] {
        return limits::TakeRetry(state.retry_budget, open.call.owner);
      });
  LogEnd(open, ending);
  if (next != calls::NextStep::kRetry) {
    CountEnd(open, ending);
  }
  switch (next) {
    case calls::NextStep::kRetry:
      open.attempt.may_have_run |= ending.verdict != calls::Verdict::kNotRun;
      RouteToAnother(state, id, std::exchange(open.target, {}));
      return;
    case calls::NextStep::kFinish:
      open.exchange->Finish();
      break;
    case calls::NextStep::kTruncate:
      open.exchange->Abort();
      break;
    case calls::NextStep::kRefuse:
      open.exchange->Respond(ToResponse(open, ending));
      break;
  }
  CloseCall(state, id);
}

void HandleCallEnd(EntryState& state, const wire::CallEndT& end) {
  const auto found = state.call_of_attempt.find(end.call);
  if (found == state.call_of_attempt.end()) {
    return;
  }
  EndAttempt(state, found->second,
             {.verdict = FromWire(end.verdict),
              .error = ErrorCodeFromStableCode(end.error),
              .detail = end.detail,
              .retry_after = Duration(end.retry_after_microseconds)});
}

// Ends a call whose agent sends a second head, or a piece before the first one:
// they are no one answer.
void EndContradictoryAttempt(EntryState& state, uint64_t attempt) {
  const uint64_t id = state.call_of_attempt.at(attempt);
  CancelAtAgent(state, state.calls.at(id));
  EndAttempt(state, id,
             {.verdict = calls::Verdict::kUnknown,
              .error = ErrorCode::kTargetFailed,
              .detail = "the agent's frames are no answer",
              .retry_after = kRetryAfter});
}

void HandleCallHead(EntryState& state, const wire::CallHeadT& head) {
  OpenCall* open = FindAttempt(state, head.call);
  if (open == nullptr) {
    return;
  }
  if (std::exchange(open->attempt.has_head, true)) {
    EndContradictoryAttempt(state, head.call);
    return;
  }
  telemetry::Observe(metric_names::kFirstByteTime, {},
                     EventLoop::Now() - open->arrived_at);
  open->last_received = EventLoop::Now();
  open->exchange->StartStream(head.status,
                              {{"content-type", head.content_type},
                               {"bramleyspan-request", open->call.request}});
}

void HandleCallChunk(EntryState& state, const wire::CallChunkT& chunk) {
  OpenCall* open = FindAttempt(state, chunk.call);
  if (open == nullptr) {
    return;
  }
  if (!open->attempt.has_head) {
    EndContradictoryAttempt(state, chunk.call);
    return;
  }
  open->last_received = EventLoop::Now();
  RecordFirstByte(state, chunk.call);
  open->exchange->Write(chunk.bytes);
}

bool is_overdue(const OpenCall& open, TimePoint now) {
  return open.attempt.has_head
             ? open.last_received + kMaxAnswerGap <= now
             : open.first_byte_deadline + kDeadlineGrace <= now;
}

// Ends a call whose agent hangs or is cut off while its connection looks open,
// so that the caller does not wait for it. Later frames of the agent match no
// attempt.
void EndOverdueCall(EntryState& state, uint64_t id) {
  const OpenCall& open = state.calls.at(id);
  if (!open.target.empty()) {
    CancelAtAgent(state, open);
  }
  EndAttempt(state, id,
             {.verdict = calls::Verdict::kUnknown,
              .error = ErrorCode::kTimeout,
              .detail = open.attempt.is_repeatable
                            ? "no answer in time"
                            : "no answer in time; ask again with the same key",
              .retry_after = kRetryAfter});
}

void EndCallByStop(EntryState& state, uint64_t id) {
  const OpenCall& open = state.calls.at(id);
  if (open.target.empty()) {
    RefuseCall(state, id, ErrorCode::kLeaving,
               "this entry stops; use another one");
    return;
  }
  CancelAtAgent(state, open);
  const calls::Ending ending{.verdict = open.attempt.has_head
                                            ? calls::Verdict::kTruncated
                                            : calls::Verdict::kUnknown,
                             .error = ErrorCode::kOutcomeUnknown,
                             .detail = "this entry stops",
                             .retry_after = kRetryAfter};
  LogEnd(open, ending);
  CountEnd(open, ending);
  if (open.attempt.has_head) {
    open.exchange->Abort();
  } else {
    open.exchange->Respond(ToResponse(open, ending));
  }
  CloseCall(state, id);
}

}  // namespace

void Refuse(const ExchangePointer& exchange,
            ErrorCode code,
            const std::string& subject,
            const std::string& detail,
            std::optional<Duration> retry_after) {
  exchange->Respond(bramleyspan::ToResponse({.error = {code, subject, detail},
                                             .run = RunState::kNotRun,
                                             .retry_after = retry_after}));
}

void RefuseCall(EntryState& state,
                uint64_t id,
                ErrorCode code,
                const std::string& detail,
                Duration retry_after) {
  const OpenCall& open = state.calls.at(id);
  const calls::Ending ending{calls::Verdict::kNotRun, code, detail,
                             retry_after};
  CountEnd(open, ending);
  open.exchange->Respond(ToResponse(open, ending));
  CloseCall(state, id);
}

void RouteToAnother(EntryState& state, uint64_t id, const std::string& target) {
  OpenCall& open = state.calls.at(id);
  open.tried.insert(target);
  const auto& entries = state.feed.current().entries;
  const auto entry = entries.find(open.call.catalogue_entry);
  if (entry == entries.end()) {
    RefuseCall(state, id, ErrorCode::kForbidden, "the entry was removed",
               Duration::zero());
    return;
  }
  RouteByProbes(state, entry->second, id);
}

void SendCall(EntryState& state, uint64_t id, const std::string& target) {
  OpenCall& open = state.calls.at(id);
  const auto link = state.links.find(target);
  if (link == state.links.end() || !link->second.connection->is_open()) {
    RefuseCall(state, id, ErrorCode::kUnavailable, "the target has left");
    return;
  }
  open.target = target;
  ++open.attempt.attempts;
  open.call.call = ++state.last_id;
  const Duration remaining = open.first_byte_deadline - EventLoop::Now();
  open.call.remaining_microseconds = std::max(remaining, Duration(0)).count();
  state.call_of_attempt.emplace(open.call.call, id);
  link->second.connection->Send(wire::Encode(open.call));
}

uint64_t OpenNewCall(EntryState& state,
                     const catalogue::Entry& entry,
                     const http::Request& request,
                     const ExchangePointer& exchange) {
  const uint64_t id = ++state.last_id;
  OpenCall open;
  open.exchange = exchange;
  open.deadline = entry.deadline;
  open.first_byte_deadline = EventLoop::Now() + entry.deadline;
  open.attempt.is_repeatable =
      entry.repetition == catalogue::Repetition::kRepeatable;
  open.call.request = RandomHex(kRequestIdBytes);
  open.call.catalogue_entry = entry.name;
  open.call.owner = entry.owner;
  open.call.service_class = static_cast<uint8_t>(entry.service_class);
  open.call.method = request.method;
  open.call.path = request.path;
  open.call.content_type = http::FindHeader(request.headers, "content-type");
  open.call.body = request.body;
  exchange->OnDisconnect([&state, id] {
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) {
      return;
    }
    CancelAtAgent(state, found->second);
    CloseCall(state, id);
  });
  limits::RecordFirstAttempt(state.retry_budget, entry.owner);
  state.calls.emplace(id, std::move(open));
  return id;
}

// A leaving agent still has the records of its keys, and only it may state that
// a call did not run.
void RouteByClaim(EntryState& state, const std::string& claim, uint64_t id) {
  const auto key = claims::ParseClaimKey(claim);
  if (key.has_error()) {
    RefuseCall(state, id, ErrorCode::kMalformedRequest, key.error().detail,
               Duration::zero());
    return;
  }
  if (AnswerByClosingRecord(state, key.value(), id)) {
    return;
  }
  OpenCall& open = state.calls.at(id);
  const auto link = state.links.find(key.value().agent);
  if (link != state.links.end() && link->second.connection->is_open()) {
    open.call.claim = claim;
    SendCall(state, id, key.value().agent);
    return;
  }
  // Another attempt with this key may have reached the agent through another
  // entry, so "not run" could be wrong.
  open.attempt.may_have_run = true;
  RefuseCall(state, id, ErrorCode::kOutcomeUnknown,
             "the agent that owns the claim is not reachable; "
             "ask again with the same key");
}

void HandleAgentFrame(EntryState& state, const wire::FrameT& frame) {
  if (const auto* estimate = frame.body.AsEstimate()) {
    HandleEstimate(state, *estimate);
  } else if (const auto* head = frame.body.AsCallHead()) {
    HandleCallHead(state, *head);
  } else if (const auto* chunk = frame.body.AsCallChunk()) {
    HandleCallChunk(state, *chunk);
  } else if (const auto* end = frame.body.AsCallEnd()) {
    HandleCallEnd(state, *end);
  } else if (const auto* reply = frame.body.AsClaimReply()) {
    HandleClaimReply(state, *reply);
  } else if (const auto* closing_record = frame.body.AsClaimsSealed()) {
    HandleClosingRecord(state, *closing_record);
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
    EndAttempt(state, id,
               {.verdict = calls::Verdict::kUnknown,
                .error = ErrorCode::kOutcomeUnknown,
                .detail = "the connection to the agent broke",
                .retry_after = kRetryAfter});
  }
  HandleLostClaimAgent(state, target);
}

void EndCallsByStop(EntryState& state) {
  std::vector<uint64_t> ids;
  for (const auto& [id, open] : state.calls) {
    ids.push_back(id);
  }
  for (const uint64_t id : ids) {
    EndCallByStop(state, id);
  }
}

void EndOverdueCalls(EntryState& state) {
  const TimePoint now = EventLoop::Now();
  std::vector<uint64_t> overdue;
  for (const auto& [id, open] : state.calls) {
    if (is_overdue(open, now)) {
      overdue.push_back(id);
    }
  }
  for (const uint64_t id : overdue) {
    EndOverdueCall(state, id);
  }
  state.loop.RunAfter(kOverdueCheckInterval,
                      [&state] { EndOverdueCalls(state); });
}

}  // namespace bramleyspan::entry
