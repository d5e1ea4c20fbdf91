// What comes back from a target: checked, passed on, or taken for a failure.
#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::is_own_header;
using detail::kBadGateway;
using detail::kFirstFailure;
using detail::kFirstServerFailure;
using detail::kGatewayTimeout;
using detail::kMisdirected;
using detail::kOk;
using detail::kRequestTimeout;
using detail::kStreamSilence;
using detail::kTooMany;
using detail::kUnavailable;
using detail::Text;
using gateway::Outcome;
using http::CallEnd;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

bool Forwarding::is_own_answer(const http::AnswerHead& head) const {
  const std::string_view echoed =
      FindHeader(head.headers, this->state.adapter.headers.attempt);
  return echoed.empty() || echoed == this->id;
}

void Forwarding::HandleHead(const http::AnswerHead& head) {
  this->answer = head;
  const bool has_stamp =
      !FindHeader(head.headers, this->state.adapter.headers.stamp).empty();
  const bool is_encoded = !FindHeader(head.headers, "content-encoding").empty();
  this->is_passing_events = this->is_streaming() && head.status == kOk &&
                            has_stamp && !is_encoded &&
                            this->is_own_answer(head);
  if (this->is_streaming()) {
    this->ArmSilence(kStreamSilence);
  }
}

void Forwarding::HandleBytes(std::string_view bytes) {
  if (!this->is_passing_events) {
    this->answer_body.append(bytes);
    return;
  }
  this->events.Read(bytes, [this](const gateway::StreamEvent& event) {
    this->HandleEvent(event);
  });
}

void Forwarding::HandleEvent(const gateway::StreamEvent& event) {
  if (this->is_finished) {
    return;
  }
  // A run that goes on elsewhere may begin with what the caller has.
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
         {"after_ms", Text(this->first_event_after)}});
  } else {
    const Duration pause = now - this->last_event_at;
    this->longest_pause = std::max(this->longest_pause, pause);
    gateway::NotePause(this->state.places, this->group, pause,
                       this->route->longest_pause, now);
    telemetry::Observe(kPauseTime, {{"service", this->service}}, pause);
  }
  this->SettlePlace();
  this->last_event_at = now;
  usage::RecordEvent(this->meter, this->TokensPerEvent());
  if (event.id) {
    this->last_event = event.id;
  }
  this->exchange->Write(event.bytes);
  this->ArmSilence(kStreamSilence);
}

void Forwarding::HandleEnd(CallEnd end) {
  auto keep_until_return = this->shared_from_this();
  this->call = nullptr;
  this->state.loop.Cancel(std::exchange(this->silence_timer, 0));
  if (this->is_finished) {
    return;
  }
  if (this->is_passing_events) {
    this->HandleStreamEnd(end);
    return;
  }
  if (end != CallEnd::kWhole) {
    this->HandleFailed(end);
    return;
  }
  switch (this->Judge()) {
    case Verdict::kPass:
      this->PassAnswer();
      return;
    case Verdict::kRejected:
      this->HandleRejected();
      return;
    case Verdict::kUnsound:
      this->HandleFailed(CallEnd::kMalformed);
      return;
  }
}

Forwarding::Verdict Forwarding::Judge() const {
  const gateway::CallHeaders& names = this->state.adapter.headers;
  const http::AnswerHead& head = *this->answer;
  if (!this->is_own_answer(head)) {
    return Verdict::kUnsound;
  }
  if (head.status == kMisdirected ||
      !FindHeader(head.headers, names.not_run).empty()) {
    return Verdict::kRejected;
  }
  const bool has_stamp = !FindHeader(head.headers, names.stamp).empty();
  const bool is_encoded = !FindHeader(head.headers, "content-encoding").empty();
  // A target's 429 or 503 without the mark may come from a run; passed on, it
  // would promise the caller that nothing ran.
  const bool is_false_promise = head.status == kTooMany ||
                                head.status == kUnavailable ||
                                head.status == kRequestTimeout;
  if (!has_stamp || is_encoded || is_false_promise || this->is_streaming()) {
    return head.status >= kFirstFailure && has_stamp && !is_false_promise
               ? Verdict::kPass
               : Verdict::kUnsound;
  }
  return Verdict::kPass;
}

void Forwarding::PassAnswer() {
  const int status = this->answer->status;
  const bool is_failure = status >= kFirstServerFailure;
  this->LeaveTarget(is_failure ? Outcome::kFailed : Outcome::kGood);
  if (is_failure && this->route->is_repeatable()) {
    const auto held_answer = this->answer;
    const std::string held_body = this->answer_body;
    if (this->TryAgain("target answered " + std::to_string(status), true)) {
      return;
    }
    this->answer = held_answer;
    this->answer_body = held_body;
  }
  this->exchange->Respond(status, this->AnswerHeaders(), this->answer_body);
  this->Finish(is_failure ? "target_failed" : "answered", status);
}

http::HeaderList Forwarding::AnswerHeaders() const {
  http::HeaderList headers;
  for (const auto& [name, value] : this->answer->headers) {
    if (!is_own_header(name)) {
      headers.emplace_back(name, value);
    }
  }
  return headers;
}

void Forwarding::HandleRejected() {
  // It did not run there, and the target says that it never will.
  --this->sent;
  this->may_have_run = this->sent > 0 || this->has_started_answer;
  const bool is_misdirected = this->answer->status == kMisdirected;
  Log(LogLevel::kWarning, "forward", "rejected",
      {{"request", this->id},
       {"target", this->target_id},
       {"status", std::to_string(this->answer->status)}});
  if (!is_misdirected) {
    gateway::NoteRefusal(this->state.places, this->group, EventLoop::Now());
  }
  this->LeaveTarget(is_misdirected ? Outcome::kMisdirected : Outcome::kFailed);
  if (this->TryAgain("rejected", true)) {
    return;
  }
  if (this->has_started_answer) {
    this->BreakOff("rejected when going on");
  } else if (this->may_have_run) {
    this->Fail(kBadGateway, "rejected, and may have run before");
  } else {
    this->Refuse(kUnavailable, "rejected by the target", true);
  }
}

void Forwarding::HandleFailed(CallEnd end) {
  const bool is_unreached = end == CallEnd::kNotSent;
  Log(LogLevel::kWarning, "forward", "attempt_failed",
      {{"request", this->id},
       {"target", this->target_id},
       {"end", std::string(http::NameOf(end))},
       {"after_ms", Text(EventLoop::Now() - this->arrived)}});
  this->LeaveTarget(is_unreached ? Outcome::kUnreachable : Outcome::kFailed);
  if (is_unreached) {
    ++this->unreached;
  }
  const bool may_go_on = is_unreached || this->route->is_repeatable();
  if (may_go_on && this->TryAgain(http::NameOf(end), !is_unreached)) {
    return;
  }
  if (this->has_started_answer) {
    this->BreakOff(http::NameOf(end));
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
    this->LeaveTarget(Outcome::kGood);
    this->exchange->Finish();
    this->Finish("answered", kOk);
    return;
  }
  this->HandleFailed(end == CallEnd::kWhole ? CallEnd::kTruncated : end);
}

}  // namespace bramleyspan::gatewayd
