// Handles the answer of a target: checks it, forwards it, or treats it as a
// failure.
#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"
#include "Services/bramleyspand/Gateway/SilentTargets.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::is_hop_by_hop;
using detail::kBadGateway;
using detail::kFirstFailure;
using detail::kFirstServerFailure;
using detail::kGatewayTimeout;
using detail::kMisdirected;
using detail::kOk;
using detail::kRequestTimeout;
using detail::kStreamEventTimeout;
using detail::kTooManyRequests;
using detail::kUnavailable;
using detail::ToMillisecondsText;
using gateway::Outcome;
using http::CallEnd;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

// Bytes of an answer that is passed on to nobody after which it is not read on.
constexpr size_t kMaxDroppedBytes = 65536;
// A longer event would end its caller's connection, see IngressLimits.
constexpr size_t kMaxEventBytes = size_t{1} << 20;

}  // namespace

bool Forwarding::is_own_answer(const http::AnswerHead& head) const {
  const std::string_view echoed =
      FindHeader(head.headers, this->state.adapter.headers.attempt);
  return echoed.empty() || echoed == this->id;
}

void Forwarding::RecordSignals(const http::AnswerHead& head) {
  // An answer of another server at the address says nothing of the target.
  if (this->is_own_answer(head) && head.status != kMisdirected) {
    this->state.signals->RecordAnswer(this->target_id, head, this->sent_at);
  }
}

void Forwarding::HandleHead(const http::AnswerHead& head) {
  this->answer = head;
  this->state.silent_targets->RecordAnswer(this->target_id);
  this->RecordSignals(head);
  const bool has_stamp =
      !FindHeader(head.headers, this->state.adapter.headers.stamp).empty();
  const bool is_encoded = !FindHeader(head.headers, "content-encoding").empty();
  this->is_forwarding_events = this->is_streaming() && head.status == kOk &&
                               has_stamp && !is_encoded &&
                               this->is_own_answer(head);
  if (this->is_streaming()) {
    this->ArmAttemptTimer(kStreamEventTimeout);
  }
}

void Forwarding::HandleBytes(std::string_view bytes) {
  auto keep_until_return = this->shared_from_this();
  this->state.silent_targets->RecordAnswer(this->target_id);
  if (this->is_forwarding_events) {
    this->events.Read(bytes, [this](const gateway::StreamEvent& event) {
      this->HandleEvent(event);
    });
  } else if (this->CheckAnswer() == Verdict::kForward) {
    this->answer_body.append(bytes);
  } else {
    this->DropBytes(bytes);
  }
  if (this->is_finished || this->call == nullptr) {
    return;
  }
  const auto too_large = gateway::RecordHeldBytes(
      this->state.answer_memory, this->number,
      this->answer_body.size() + this->events.partial_bytes());
  if (too_large) {
    this->state.open.at(*too_large)->CutAnswer();
  } else if (this->events.partial_bytes() > kMaxEventBytes) {
    this->CutAnswer();
  }
}

void Forwarding::DropBytes(std::string_view bytes) {
  this->dropped_bytes += bytes.size();
  if (this->dropped_bytes > kMaxDroppedBytes) {
    std::exchange(this->call, nullptr)->Cancel();
    this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
    this->HandleKnownEnd(CallEnd::kWhole);
  }
}

void Forwarding::CutAnswer() {
  if (this->call == nullptr) {
    gateway::RecordHeldBytes(this->state.answer_memory, this->number, 0);
    return;
  }
  auto keep_until_return = this->shared_from_this();
  Log(LogLevel::kWarning, "forward", "answer_cut",
      {{"request", this->id},
       {"target", this->target_id},
       {"held_bytes", std::to_string(this->answer_body.size() +
                                     this->events.partial_bytes())},
       {"all_held_bytes", std::to_string(this->state.answer_memory.held)},
       {"limit_bytes", std::to_string(this->state.answer_memory.limit)}});
  telemetry::Count(kAnswersCut, {{"service", this->service}});
  this->DropAnswer();
  std::exchange(this->call, nullptr)->Cancel();
  this->HandleEnd(CallEnd::kTooLong);
}

void Forwarding::DropAnswer() {
  gateway::RecordHeldBytes(this->state.answer_memory, this->number, 0);
  this->answer_body = {};
  this->events = {};
  this->dropped_bytes = 0;
}

void Forwarding::HandleEvent(const gateway::StreamEvent& event) {
  if (this->is_finished) {
    return;
  }
  this->RecordAnswerProgress(false);
  // A run that is resumed at another target may start with events that the
  // caller already has.
  if (event.id && this->last_event && *event.id <= *this->last_event) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  if (!std::exchange(this->has_started_answer, true)) {
    this->exchange->StartStream(this->answer->status, this->AnswerHeaders());
    this->first_event_after = now - this->arrived;
    telemetry::Observe(kFirstEventTime, {{"service", this->service}},
                       this->first_event_after);
    Log(LogLevel::kInfo, "forward", "first_event",
        {{"request", this->id},
         {"target", this->target_id},
         {"after_ms", ToMillisecondsText(this->first_event_after)}});
  } else {
    const Duration pause = now - this->last_event_at;
    if (pause > this->longest_pause) {
      this->longest_pause = pause;
      this->longest_pause_ended = now;
    }
    gateway::RecordPause(this->state.permits, this->group, pause,
                         this->route->longest_pause, now);
    telemetry::Observe(kPauseTime, {{"service", this->service}}, pause);
  }
  this->SettlePermit();
  this->last_event_at = now;
  usage::RecordEvent(this->meter, this->TokensPerEvent());
  if (event.id) {
    this->last_event = event.id;
  }
  this->exchange->Write(event.bytes);
  this->ArmAttemptTimer(kStreamEventTimeout);
}

void Forwarding::HandleEnd(CallEnd end) {
  auto keep_until_return = this->shared_from_this();
  this->call = nullptr;
  gateway::RecordHeldBytes(this->state.answer_memory, this->number, 0);
  this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
  if (this->is_finished) {
    return;
  }
  const bool is_doubtful = end == CallEnd::kWhole && !this->is_framed;
  if (!is_doubtful || !this->CheckUnframedAnswer()) {
    this->HandleKnownEnd(end);
  }
}

void Forwarding::HandleKnownEnd(CallEnd end) {
  if (this->is_forwarding_events) {
    this->HandleStreamEnd(end);
    return;
  }
  if (end != CallEnd::kWhole) {
    this->HandleFailed(end);
    return;
  }
  switch (this->CheckAnswer()) {
    case Verdict::kForward:
      this->ForwardAnswer();
      return;
    case Verdict::kRejected:
      this->HandleRejected();
      return;
    case Verdict::kInvalid:
      this->HandleFailed(CallEnd::kMalformed);
      return;
  }
}

Forwarding::Verdict Forwarding::CheckAnswer() const {
  const gateway::CallHeaders& names = this->state.adapter.headers;
  const http::AnswerHead& head = *this->answer;
  if (!this->is_own_answer(head)) {
    return Verdict::kInvalid;
  }
  if (head.status == kMisdirected ||
      !FindHeader(head.headers, names.not_run).empty()) {
    return Verdict::kRejected;
  }
  const bool has_stamp = !FindHeader(head.headers, names.stamp).empty();
  const bool is_encoded = !FindHeader(head.headers, "content-encoding").empty();
  // A 429, 503 or 408 of a target without the not-run header may come after a
  // run; forwarded, it would tell the caller that nothing ran.
  const bool is_not_run_status = head.status == kTooManyRequests ||
                                 head.status == kUnavailable ||
                                 head.status == kRequestTimeout;
  if (!has_stamp || is_encoded || is_not_run_status || this->is_streaming()) {
    return head.status >= kFirstFailure && has_stamp && !is_not_run_status
               ? Verdict::kForward
               : Verdict::kInvalid;
  }
  return Verdict::kForward;
}

void Forwarding::ForwardAnswer() {
  this->RecordAnswerProgress(true);
  const int status = this->answer->status;
  const bool is_failure = status >= kFirstServerFailure;
  this->ReleaseTarget(is_failure ? Outcome::kFailed : Outcome::kGood);
  if (is_failure && this->route->is_repeatable()) {
    const auto saved_answer = this->answer;
    const std::string saved_body = this->answer_body;
    if (this->TryRepeat("target answered " + std::to_string(status), true)) {
      return;
    }
    this->answer = saved_answer;
    this->answer_body = saved_body;
  }
  this->exchange->Respond(status, this->AnswerHeaders(), this->answer_body);
  this->Finish(is_failure ? "target_failed" : "answered", status);
}

http::HeaderList Forwarding::AnswerHeaders() const {
  http::HeaderList headers;
  for (const auto& [name, value] : this->answer->headers) {
    if (!is_hop_by_hop(name)) {
      headers.emplace_back(name, value);
    }
  }
  return headers;
}

void Forwarding::HandleRejected() {
  // The target did not run the request and never will.
  --this->sent;
  this->may_have_run = this->sent > 0 || this->has_started_answer;
  const bool is_misdirected = this->answer->status == kMisdirected;
  Log(LogLevel::kWarning, "forward", "rejected",
      {{"request", this->id},
       {"target", this->target_id},
       {"status", std::to_string(this->answer->status)},
       {"retry_after",
        std::string(FindHeader(this->answer->headers, "retry-after"))}});
  const gateway::AnswerSignals signals = gateway::ParseSignals(
      this->state.adapter.headers, this->answer->status, this->answer->headers);
  // A backoff says when the target takes requests again, so that it is neither
  // failing nor a sign that its group is full.
  if (!is_misdirected && !signals.backoff) {
    gateway::RecordRejection(this->state.permits, this->group,
                             EventLoop::Now());
  }
  this->ReleaseTarget(is_misdirected    ? Outcome::kMisdirected
                      : signals.backoff ? Outcome::kBackedOff
                                        : Outcome::kFailed);
  if (this->TryRepeat("rejected", true)) {
    return;
  }
  if (this->has_started_answer) {
    this->AbortAnswer("rejected while resuming the stream");
  } else if (this->may_have_run) {
    this->Fail(kBadGateway, "rejected, but an earlier attempt may have run");
  } else {
    this->Refuse(kUnavailable, "rejected by the target", true);
  }
}

void Forwarding::HandleFailed(CallEnd end) {
  const bool is_unreachable = end == CallEnd::kNotSent;
  Log(LogLevel::kWarning, "forward", "attempt_failed",
      {{"request", this->id},
       {"target", this->target_id},
       {"end", std::string(http::NameOf(end))},
       {"after_ms", ToMillisecondsText(EventLoop::Now() - this->arrived)}});
  const bool is_checked = this->CheckTarget(end);
  this->ReleaseTarget(is_unreachable ? Outcome::kUnreachable
                                     : Outcome::kFailed);
  if (is_unreachable) {
    ++this->failed_connections;
  }
  if (!is_checked) {
    this->RepeatOrEnd(end);
  }
}

void Forwarding::RepeatOrEnd(CallEnd end) {
  if (this->is_finished) {
    return;
  }
  const bool is_unreachable = end == CallEnd::kNotSent;
  const bool may_repeat =
      is_unreachable || (this->route->is_repeatable() && !this->is_trial &&
                         this->state.quarantine->may_repeat(this->marks));
  if (may_repeat && this->TryRepeat(http::NameOf(end), !is_unreachable)) {
    return;
  }
  if (this->has_started_answer) {
    this->AbortAnswer(http::NameOf(end));
  } else if (this->may_have_run) {
    this->Fail(end == CallEnd::kTimeout ? kGatewayTimeout : kBadGateway,
               http::NameOf(end));
  } else {
    this->Refuse(kUnavailable, http::NameOf(end), true);
  }
}

void Forwarding::HandleStreamEnd(CallEnd end) {
  const bool is_whole =
      end == CallEnd::kWhole && !this->events.has_partial_event();
  if (is_whole && this->has_started_answer) {
    this->RecordAnswerProgress(true);
    this->ReleaseTarget(Outcome::kGood);
    this->exchange->Finish();
    this->Finish("answered", kOk);
    return;
  }
  this->HandleFailed(end == CallEnd::kWhole ? CallEnd::kTruncated : end);
}

}  // namespace bramleyspan::gatewayd
