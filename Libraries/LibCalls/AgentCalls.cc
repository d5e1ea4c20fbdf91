#include "LibCalls/AgentCalls.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleyspan::calls {

namespace {

using claims::ClaimDecision;

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEventStreamEnd = "data: [DONE]";
constexpr size_t kTailBytes = 32;

SendEnd End(const Recipient& to,
            Verdict verdict,
            ErrorCode error,
            std::string detail,
            Duration retry_after = {}) {
  return {to, {verdict, error, std::move(detail), retry_after}};
}

Effects SendStoredAnswer(const Recipient& to,
                         const claims::StoredAnswer& answer) {
  return {SendHead{to, answer.status, answer.content_type},
          SendBytes{to, answer.body}, SendEnd{to, {}}};
}

SendEnd EndWithoutStoredAnswer(const Recipient& to) {
  return End(to, Verdict::kUnknown, ErrorCode::kAnswerGone,
             "the call ran to its end, but its answer is not kept any more");
}

SendEnd EndStillRunning(const AgentCalls& calls, const Recipient& to) {
  return End(to, Verdict::kUnknown, ErrorCode::kClaimUnknown,
             "the call is running; ask again with the same key",
             calls.settings.retry_after);
}

Effects Forward(AgentCalls& calls, const CallRequest& request, TimePoint now) {
  const uint64_t id = ++calls.last_forward;
  ForwardedCall forwarded;
  forwarded.claim = request.claim;
  forwarded.is_chat = request.is_chat;
  forwarded.recipient = request.from;
  forwarded.first_byte_by = now + request.remaining;
  forwarded.started = now;
  forwarded.last_received = now;
  calls.forwarded.emplace(id, std::move(forwarded));
  if (!request.claim.empty()) {
    calls.forward_of_claim[request.claim] = id;
  }
  return {StartForward{id}};
}

// Adds a duplicate call as a waiter of the running one. A caller that retries,
// perhaps through another entry, then receives the answer of its first attempt
// instead of kUnknown.
Effects AddWaiter(AgentCalls& calls,
                  const CallRequest& request,
                  TimePoint now) {
  const auto running = calls.forward_of_claim.find(request.claim);
  if (running == calls.forward_of_claim.end()) {
    return {EndStillRunning(calls, request.from)};
  }
  calls.forwarded.at(running->second)
      .waiters.push_back({request.from, now + request.remaining});
  return {};
}

Effects DecideClaimedCall(AgentCalls& calls,
                          const CallRequest& request,
                          TimePoint now) {
  const Recipient& from = request.from;
  const Duration retry_after = calls.settings.retry_after;
  switch (claims::AdmitClaim(
      calls.claims,
      {request.claim, request.owner, request.entry, request.fingerprint},
      now)) {
    case ClaimDecision::kRun:
      if (calls.is_leaving) {
        // The key is invalidated first, so that a late duplicate cannot run
        // after kNotRun was reported.
        claims::RefuseClaim(calls.claims, request.claim);
        return {End(from, Verdict::kNotRun, ErrorCode::kLeaving,
                    "the target is leaving; take a new key", retry_after)};
      }
      return Forward(calls, request, now);
    case ClaimDecision::kIsRunning:
      return AddWaiter(calls, request, now);
    case ClaimDecision::kIsDone:
      return SendStoredAnswer(
          from, claims::FindClaim(calls.claims, request.claim)->answer);
    case ClaimDecision::kIsAnswerGone:
      return {EndWithoutStoredAnswer(from)};
    case ClaimDecision::kIsRefused:
      return {End(from, Verdict::kNotRun, ErrorCode::kClaimRefused,
                  "the key was refused before; take a new one", retry_after)};
    case ClaimDecision::kIsUnknown:
      return {End(from, Verdict::kUnknown, ErrorCode::kClaimUnknown,
                  "whether the call ran is not known any more")};
    case ClaimDecision::kIsForged:
      return {End(from, Verdict::kNotRun, ErrorCode::kForbidden,
                  "the key was not issued to this entry")};
    case ClaimDecision::kIsOtherCall:
      return {End(from, Verdict::kNotRun, ErrorCode::kConflict,
                  "the key belongs to another request")};
    case ClaimDecision::kIsFull:
      return {End(from, Verdict::kUnknown, ErrorCode::kLimitExceeded,
                  "no room for one more key; ask again with the same key",
                  retry_after)};
  }
  return {};
}

// Whether an answer that HTTP considers complete is really complete. If a model
// server dies between two chunks and the operating system closes its
// connection, an event stream without its last event looks complete, and so
// does any answer without a length.
bool is_whole(const ForwardedCall& forwarded) {
  if (forwarded.is_chat &&
      forwarded.answer.content_type.starts_with(kEventStream)) {
    return forwarded.tail.find(kEventStreamEnd) != std::string::npos;
  }
  return forwarded.is_framed;
}

Ending EndingFor(const AgentCalls& calls,
                 const ForwardedCall& forwarded,
                 BackEndOutcome outcome,
                 const std::string& detail) {
  if (outcome == BackEndOutcome::kNeverSent) {
    return {Verdict::kNotRun, ErrorCode::kUnavailable,
            "the back end takes no connection", calls.settings.retry_after};
  }
  if (outcome == BackEndOutcome::kComplete && is_whole(forwarded)) {
    return {};
  }
  if (forwarded.has_head) {
    return {
        Verdict::kTruncated, ErrorCode::kTruncated,
        detail.empty() ? "the answer does not say that it is whole" : detail};
  }
  return {Verdict::kUnknown, ErrorCode::kOutcomeUnknown, detail,
          calls.settings.retry_after};
}

void RecordClaimOutcome(AgentCalls& calls,
                        ForwardedCall& forwarded,
                        Verdict verdict) {
  if (forwarded.claim.empty()) {
    return;
  }
  calls.forward_of_claim.erase(forwarded.claim);
  if (verdict == Verdict::kWhole) {
    claims::FinishClaim(calls.claims, forwarded.claim, forwarded.answer);
  } else if (verdict == Verdict::kNotRun) {
    claims::RefuseClaim(calls.claims, forwarded.claim);
  } else {
    claims::MarkClaimUnknown(calls.claims, forwarded.claim);
  }
}

void Append(Effects& effects, Effects more) {
  std::move(more.begin(), more.end(), std::back_inserter(effects));
}

// Returns the effects that end a waiter. It has received no part of the answer,
// so kTruncated becomes kUnknown.
Effects EndWaiter(const ForwardedCall& forwarded,
                  const Waiter& waiter,
                  const Ending& ending) {
  if (ending.verdict == Verdict::kWhole) {
    return forwarded.answer.is_too_large
               ? Effects{EndWithoutStoredAnswer(waiter.to)}
               : SendStoredAnswer(waiter.to, forwarded.answer);
  }
  Ending seen = ending;
  if (seen.verdict == Verdict::kTruncated) {
    seen.verdict = Verdict::kUnknown;
    seen.error = ErrorCode::kOutcomeUnknown;
  }
  return {SendEnd{waiter.to, std::move(seen)}};
}

// Ends a call for its recipient and all waiters. The state of the claim key is
// updated first, so that a caller that reacts to the end finds the key updated.
Effects EndForward(AgentCalls& calls, uint64_t id, const Ending& ending) {
  const auto found = calls.forwarded.find(id);
  ForwardedCall forwarded = std::move(found->second);
  calls.forwarded.erase(found);
  RecordClaimOutcome(calls, forwarded, ending.verdict);
  Effects effects;
  if (forwarded.recipient) {
    effects.emplace_back(SendEnd{*forwarded.recipient, ending});
  }
  for (const Waiter& waiter : forwarded.waiters) {
    Append(effects, EndWaiter(forwarded, waiter, ending));
  }
  return effects;
}

// Removes the recipient of a call and cancels the call if it may be repeated. A
// call with a claim key continues, and its answer is stored for the caller that
// retries with the same key.
Effects DropRecipient(AgentCalls& calls, uint64_t id) {
  ForwardedCall& forwarded = calls.forwarded.at(id);
  forwarded.recipient.reset();
  if (!forwarded.claim.empty()) {
    return {};
  }
  calls.forwarded.erase(id);
  return {CancelForward{id}};
}

template <typename Predicate>
Effects DropRecipientsIf(AgentCalls& calls, Predicate is_disconnected) {
  std::vector<uint64_t> dropped;
  for (auto& [id, forwarded] : calls.forwarded) {
    std::erase_if(forwarded.waiters, [&](const Waiter& waiter) {
      return is_disconnected(waiter.to);
    });
    if (forwarded.recipient && is_disconnected(*forwarded.recipient)) {
      dropped.push_back(id);
    }
  }
  Effects effects;
  for (const uint64_t id : dropped) {
    Append(effects, DropRecipient(calls, id));
  }
  return effects;
}

Effects EndExpiredWaiters(const AgentCalls& calls,
                          ForwardedCall& forwarded,
                          TimePoint now) {
  Effects effects;
  std::erase_if(forwarded.waiters, [&](const Waiter& waiter) {
    const bool is_expired = waiter.until <= now;
    if (is_expired) {
      effects.emplace_back(EndStillRunning(calls, waiter.to));
    }
    return is_expired;
  });
  return effects;
}

// Returns when a call ends if the back end stays unresponsive.
TimePoint ForwardDeadline(const AgentCalls& calls,
                          const ForwardedCall& forwarded) {
  if (forwarded.has_head) {
    return forwarded.last_received + calls.settings.max_answer_gap;
  }
  return forwarded.claim.empty()
             ? forwarded.first_byte_by
             : forwarded.started + calls.settings.max_run_time;
}

bool is_overdue(const ForwardedCall& forwarded, TimePoint now) {
  return !forwarded.has_head && forwarded.recipient &&
         forwarded.first_byte_by <= now;
}

// Ends callers whose deadline has passed, and the call itself if the back end
// is unresponsive for too long. A call with a claim key continues beyond the
// caller's deadline for a caller that retries.
Effects CheckDeadline(AgentCalls& calls, uint64_t id, TimePoint now) {
  ForwardedCall& forwarded = calls.forwarded.at(id);
  Effects effects = EndExpiredWaiters(calls, forwarded, now);
  if (ForwardDeadline(calls, forwarded) <= now) {
    const Ending ending{
        forwarded.has_head ? Verdict::kTruncated : Verdict::kUnknown,
        ErrorCode::kTimeout, "the back end keeps silent",
        calls.settings.retry_after};
    Append(effects, EndForward(calls, id, ending));
    effects.emplace_back(CancelForward{id});
  } else if (is_overdue(forwarded, now)) {
    effects.emplace_back(EndStillRunning(calls, *forwarded.recipient));
    forwarded.recipient.reset();
  }
  return effects;
}

std::vector<uint64_t> IdsOf(const AgentCalls& calls) {
  std::vector<uint64_t> ids;
  for (const auto& [id, forwarded] : calls.forwarded) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace

Effects ReceiveCall(AgentCalls& calls,
                    const CallRequest& request,
                    TimePoint now) {
  if (!request.claim.empty()) {
    return DecideClaimedCall(calls, request, now);
  }
  if (request.needs_claim) {
    return {End(request.from, Verdict::kNotRun, ErrorCode::kMalformedRequest,
                "the entry is at-most-once and needs a claim key")};
  }
  if (calls.is_leaving) {
    return {End(request.from, Verdict::kNotRun, ErrorCode::kLeaving,
                "the target is leaving", calls.settings.retry_after)};
  }
  return Forward(calls, request, now);
}

Effects ReceiveHead(AgentCalls& calls,
                    uint64_t forward,
                    const BackEndHead& head,
                    TimePoint now) {
  const auto found = calls.forwarded.find(forward);
  if (found == calls.forwarded.end()) {
    return {};
  }
  ForwardedCall& forwarded = found->second;
  forwarded.has_head = true;
  forwarded.is_framed = head.is_framed;
  forwarded.last_received = now;
  forwarded.answer.status = head.status;
  forwarded.answer.content_type = head.content_type;
  if (!forwarded.recipient) {
    return {};
  }
  return {SendHead{*forwarded.recipient, head.status, head.content_type}};
}

Effects ReceiveBytes(AgentCalls& calls,
                     uint64_t forward,
                     std::string_view bytes,
                     TimePoint now) {
  const auto found = calls.forwarded.find(forward);
  if (found == calls.forwarded.end()) {
    return {};
  }
  ForwardedCall& forwarded = found->second;
  forwarded.last_received = now;
  forwarded.tail.append(bytes);
  if (forwarded.tail.size() > kTailBytes) {
    forwarded.tail.erase(0, forwarded.tail.size() - kTailBytes);
  }
  if (!forwarded.claim.empty()) {
    claims::AppendToAnswer(calls.claims.settings, forwarded.answer, bytes);
  }
  if (!forwarded.recipient) {
    return {};
  }
  return {SendBytes{*forwarded.recipient, std::string(bytes)}};
}

Effects ReceiveEnd(AgentCalls& calls,
                   uint64_t forward,
                   BackEndOutcome outcome,
                   const std::string& detail) {
  const auto found = calls.forwarded.find(forward);
  if (found == calls.forwarded.end()) {
    return {};
  }
  return EndForward(calls, forward,
                    EndingFor(calls, found->second, outcome, detail));
}

Effects RefuseForward(AgentCalls& calls,
                      uint64_t forward,
                      ErrorCode error,
                      const std::string& detail,
                      Duration retry_after) {
  if (!calls.forwarded.contains(forward)) {
    return {};
  }
  return EndForward(calls, forward,
                    {Verdict::kNotRun, error, detail, retry_after});
}

Effects CancelCall(AgentCalls& calls, const Recipient& recipient) {
  return DropRecipientsIf(
      calls, [&](const Recipient& other) { return other == recipient; });
}

Effects HandleConnectionClosed(AgentCalls& calls, uint64_t connection) {
  return DropRecipientsIf(calls, [&](const Recipient& other) {
    return other.connection == connection;
  });
}

Effects CheckDeadlines(AgentCalls& calls, TimePoint now) {
  Effects effects;
  for (const uint64_t id : IdsOf(calls)) {
    Append(effects, CheckDeadline(calls, id, now));
  }
  return effects;
}

Effects AbortAll(AgentCalls& calls) {
  Effects effects;
  for (const uint64_t id : IdsOf(calls)) {
    const bool has_head = calls.forwarded.at(id).has_head;
    const Ending ending{has_head ? Verdict::kTruncated : Verdict::kUnknown,
                        ErrorCode::kLeaving, "the bound of the stop has come",
                        calls.settings.retry_after};
    Append(effects, EndForward(calls, id, ending));
    effects.emplace_back(CancelForward{id});
  }
  return effects;
}

}  // namespace bramleyspan::calls
