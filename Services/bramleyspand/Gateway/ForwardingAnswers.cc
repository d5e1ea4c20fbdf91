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
// How often an answer without room asks again.
constexpr Duration kRoomInterval = std::chrono::milliseconds(25);

http::HeaderList AnswerHeaders(const http::AnswerHead& head) {
  http::HeaderList headers;
  for (const auto& [name, value] : head.headers) {
    if (!is_hop_by_hop(name)) {
      headers.emplace_back(name, value);
    }
  }
  return headers;
}

// Weight of one answer in the share of answers without a length.
constexpr double kUnframedShareWeight = 0.1;

}  // namespace

gateway::AnswerTerms Forwarding::terms() const {
  return {.names = this->state.adapter.headers,
          .attempt = this->id,
          .is_streaming = this->is_streaming()};
}

void Forwarding::RecordSignals(const http::AnswerHead& head) {
  // An answer of another server at the address says nothing of the target.
  if (gateway::is_own_answer(this->terms(), head) &&
      head.status != kMisdirected) {
    this->state.signals->RecordAnswer(this->target_id, head, this->sent_at);
  }
}

void Forwarding::HandleHead(const http::AnswerHead& head,
                            const http::MessageFraming& framing) {
  gateway::TakeHead(this->answer, this->terms(), head, framing.framing);
  this->state.silent_targets->RecordAnswer(this->target_id);
  this->RecordSignals(head);
  this->RecordFraming();
  if (this->is_streaming()) {
    this->ArmAttemptTimer(kStreamEventTimeout);
  }
  const bool is_length_known = framing.framing == http::BodyFraming::kLength &&
                               this->answer.use == gateway::BodyUse::kWhole;
  if (is_length_known) {
    this->AwaitRoom(framing.length);
  }
}

void Forwarding::RecordFraming() {
  double& share = this->state.unframed_share[this->service];
  const double sample = this->answer.is_framed ? 0 : 1;
  share += kUnframedShareWeight * (sample - share);
  if (!this->answer.is_framed && this->witness == nullptr) {
    this->OpenWitness();
  }
}

void Forwarding::HandleBytes(std::string_view bytes) {
  auto keep_until_return = this->shared_from_this();
  this->state.silent_targets->RecordAnswer(this->target_id);
  switch (this->answer.use) {
    case gateway::BodyUse::kEvents:
      this->HandleEvents(bytes);
      break;
    case gateway::BodyUse::kWhole:
      this->answer.body.append(bytes);
      break;
    case gateway::BodyUse::kNone:
      this->DropBytes(bytes);
      break;
  }
  if (this->is_finished || this->call == nullptr) {
    return;
  }
  const bool is_event_too_long =
      this->answer.events.partial_bytes() > kMaxEventBytes;
  if (is_event_too_long || !this->CountAnswer(this->answer.held_bytes())) {
    this->CutAnswer();
  }
}

bool Forwarding::CountAnswer(size_t bytes) {
  if (!this->answer_hold.is_counted()) {
    this->answer_hold =
        memory::Hold(this->state.holds, memory::Stage::kAnswerComing,
                     [weak = this->weak_from_this()] {
                       const auto self = weak.lock();
                       if (self != nullptr && self->answer_hold.is_ended()) {
                         self->CutAnswer();
                       }
                     });
  }
  return (bytes <= this->answer_hold.bytes()) ||
         this->answer_hold.Resize(bytes);
}

void Forwarding::AwaitRoom(size_t bytes) {
  if (this->CountAnswer(bytes)) {
    this->answer.body.reserve(bytes);
    this->call->Resume();
    return;
  }
  if (!memory::can_ever_fit(this->state.holds->account.limits, bytes)) {
    this->CutAnswer();
    return;
  }
  // Its target has answered in time; the caller's deadline bounds the wait.
  this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
  this->call->Pause();
  this->state.loop.RunAfter(kRoomInterval,
                            [weak = this->weak_from_this(), bytes,
                             paused = std::weak_ptr(this->call)] {
                              const auto self = weak.lock();
                              if (self != nullptr && self->call != nullptr &&
                                  self->call == paused.lock()) {
                                self->AwaitRoom(bytes);
                              }
                            });
}

void Forwarding::DropBytes(std::string_view bytes) {
  this->answer.dropped_bytes += bytes.size();
  if (this->answer.dropped_bytes > kMaxDroppedBytes) {
    std::exchange(this->call, nullptr)->Cancel();
    this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
    this->HandleKnownEnd(CallEnd::kWhole);
  }
}

void Forwarding::CutAnswer() {
  if (this->call == nullptr) {
    this->answer_hold.Release();
    return;
  }
  auto keep_until_return = this->shared_from_this();
  Log(LogLevel::kWarning, "forward", "answer_cut",
      {{"request", this->id},
       {"target", this->target_id},
       {"held_bytes", std::to_string(this->answer.held_bytes())},
       {"all_held_bytes", std::to_string(this->state.holds->account.held)},
       {"limit_bytes", std::to_string(this->state.holds->account.limits.all)}});
  telemetry::Count(kAnswersCut, {{"service", this->service}});
  this->DropAnswer();
  std::exchange(this->call, nullptr)->Cancel();
  this->HandleEnd(CallEnd::kTooLong);
}

void Forwarding::DropAnswer() {
  // Assigning an empty answer would keep the memory of its body.
  std::exchange(this->answer, {});
  this->answer_hold.Release();
}

void Forwarding::HandleEvents(std::string_view bytes) {
  bool is_foreign = false;
  this->answer.events.Read(bytes, [&](const gateway::StreamEvent& event) {
    if (!this->is_finished && !is_foreign) {
      is_foreign = !this->HandleEvent(event);
    }
  });
  if (is_foreign) {
    std::exchange(this->call, nullptr)->Cancel();
    this->HandleEnd(CallEnd::kMalformed);
  }
}

bool Forwarding::HandleEvent(const gateway::StreamEvent& event) {
  this->RecordAnswerProgress(false);
  const TimePoint now = EventLoop::Now();
  switch (gateway::TakeEvent(this->caller, this->answer, event)) {
    case gateway::EventUse::kBegin:
      this->RecordFirstEvent(now);
      this->exchange->StartStream(this->answer.head->status,
                                  AnswerHeaders(*this->answer.head));
      break;
    case gateway::EventUse::kPass:
      this->RecordPause(now);
      break;
    case gateway::EventUse::kLeaveOut:
      return true;
    case gateway::EventUse::kForeign:
      return false;
  }
  this->SettlePermit();
  this->last_event_at = now;
  ++this->events;
  usage::RecordEvent(this->meter, this->TokensPerEvent());
  this->ArmAttemptTimer(kStreamEventTimeout);
  this->exchange->Write(event.bytes);
  return true;
}

void Forwarding::RecordFirstEvent(TimePoint now) {
  this->first_event_after = now - this->arrived;
  telemetry::Observe(kFirstEventTime, {{"service", this->service}},
                     this->first_event_after);
  Log(LogLevel::kInfo, "forward", "first_event",
      {{"request", this->id},
       {"target", this->target_id},
       {"after_ms", ToMillisecondsText(this->first_event_after)}});
}

void Forwarding::RecordPause(TimePoint now) {
  const Duration pause = now - this->last_event_at;
  if (pause > this->longest_pause) {
    this->longest_pause = pause;
    this->longest_pause_ended = now;
  }
  gateway::RecordPause(this->state.permits, this->group, pause,
                       this->route->longest_pause, now);
  telemetry::Observe(kPauseTime, {{"service", this->service}}, pause);
}

void Forwarding::HandleEnd(CallEnd end) {
  auto keep_until_return = this->shared_from_this();
  this->call = nullptr;
  this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
  if (this->is_finished) {
    return;
  }
  if (this->is_doubtful(end)) {
    this->CheckUnframedAnswer();
  } else {
    this->HandleKnownEnd(end);
  }
}

void Forwarding::HandleKnownEnd(CallEnd end) {
  const gateway::EndUse use =
      gateway::JudgeEnd(this->caller, this->answer, this->terms(), end);
  const bool is_stream = this->answer.use == gateway::BodyUse::kEvents;
  switch (use) {
    case gateway::EndUse::kFinish:
      this->FinishStream();
      return;
    case gateway::EndUse::kForward:
    case gateway::EndUse::kUnusable:
      this->UseWholeAnswer(use);
      return;
    case gateway::EndUse::kRejected:
      this->HandleRejected();
      return;
    case gateway::EndUse::kFailed:
      this->HandleFailed(end != CallEnd::kWhole ? end
                         : is_stream            ? CallEnd::kTruncated
                                                : CallEnd::kMalformed);
      return;
  }
}

void Forwarding::FinishStream() {
  this->RecordAnswerProgress(true);
  this->ReleaseTarget(Outcome::kGood);
  this->exchange->Finish();
  this->Finish("answered", kOk);
}

void Forwarding::UseWholeAnswer(gateway::EndUse use) {
  this->RecordAnswerProgress(true);
  // A further attempt begins an answer of its own.
  gateway::TargetAnswer whole = std::exchange(this->answer, {});
  memory::Hold hold = std::move(this->answer_hold);
  const int status = whole.head->status;
  const bool is_usable = use == gateway::EndUse::kForward;
  const bool is_failure = status >= kFirstServerFailure;
  const std::string cause = "target answered " + std::to_string(status);
  this->ReleaseTarget(is_failure ? Outcome::kFailed : Outcome::kGood);
  if ((is_failure || !is_usable) && this->route->is_repeatable() &&
      this->TryRepeat(cause, true)) {
    return;
  }
  if (!is_usable) {
    this->EndUnserved({.cause = cause, .may_have_run = true});
    return;
  }
  this->exchange->Respond(status, AnswerHeaders(*whole.head),
                          std::move(whole.body), std::move(hold));
  this->Finish(is_failure ? "target_failed" : "answered", status);
}

void Forwarding::HandleRejected() {
  // The target did not run the request and never will.
  --this->sent;
  this->may_have_run = this->sent > 0 || this->caller.has_begun;
  const http::AnswerHead head = *this->answer.head;
  const bool is_misdirected = head.status == kMisdirected;
  Log(LogLevel::kWarning, "forward", "rejected",
      {{"request", this->id},
       {"target", this->target_id},
       {"status", std::to_string(head.status)},
       {"retry_after", std::string(FindHeader(head.headers, "retry-after"))}});
  const gateway::AnswerSignals signals = gateway::ParseSignals(
      this->state.adapter.headers, head.status, head.headers);
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
  this->EndUnserved(
      {.cause = "rejected by the target", .may_have_run = this->may_have_run});
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
  this->EndUnserved({.cause = std::string(http::NameOf(end)),
                     .may_have_run = this->may_have_run,
                     .status_if_run = end == CallEnd::kTimeout ? kGatewayTimeout
                                                               : kBadGateway});
}

}  // namespace bramleyspan::gatewayd
