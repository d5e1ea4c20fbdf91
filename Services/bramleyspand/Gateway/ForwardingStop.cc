// What a planned stop of the process does to a request.
#include <algorithm>
#include <utility>

#include "LibGateway/TokenCounts.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kGatewayTimeout;
using detail::ToMillisecondsText;
using http::FindHeader;
using telemetry::Log;
using telemetry::LogLevel;

// Answers of more tokens take as long as they are allowed to, whatever the
// pace.
constexpr uint64_t kMostTokens = 1'000'000;

}  // namespace

bool Forwarding::can_end_before_stop() const {
  // A stream that has begun can only go on or be cut.
  if (!this->state.stop || this->caller.has_begun) {
    return true;
  }
  const TimePoint now = EventLoop::Now();
  const Duration expected =
      gateway::ExpectedRun(this->answer_times(),
                           {.events = this->ExpectedEvents(),
                            .objective = this->route->objective,
                            .longest_pause = this->route->longest_pause,
                            .allowed = this->deadline - now},
                           now);
  return drain::can_end_in_time(*this->state.stop, expected, now);
}

bool Forwarding::RefuseIfStopping() {
  if (this->can_end_before_stop()) {
    return false;
  }
  auto keep_until_return = this->shared_from_this();
  this->state.stop->has_refused = true;
  this->SettlePermit();
  this->state.waiting.remove(keep_until_return);
  telemetry::Count(kRefusedByStop, {{"service", this->service}});
  this->EndUnserved(
      {.cause = "the gateway stops before it could end",
       .may_have_run = this->may_have_run,
       .refusal_headers = {{"retry-after", this->RetryAfterByStop()}}});
  return true;
}

std::string Forwarding::RetryAfterByStop() const {
  // Another gateway can serve the caller now, or none before one has begun
  // anew.
  return FormatRetryAfter(
      has_other_gateways(this->state, EventLoop::Now())
          ? Duration(0)
          : gateway::RetryDelayFor(gateway::RefusalReason::kNoPermit,
                                   this->TimeLeft()));
}

size_t Forwarding::ExpectedEvents() const {
  if (!this->is_streaming()) {
    return 1;
  }
  const auto tokens = gateway::ParseTokenCounts(
      FindHeader(this->request.headers, this->state.adapter.headers.tokens));
  const uint64_t per_event = std::max<uint64_t>(1, this->TokensPerEvent());
  if (!tokens || !tokens->answer || *tokens->answer > kMostTokens) {
    return 0;
  }
  return (*tokens->answer + per_event - 1) / per_event;
}

// Streams of a service take the passes of its groups, whatever their routes.
gateway::AnswerTimes& Forwarding::answer_times() const {
  return this->is_streaming() ? this->state.stream_times[this->service]
                              : this->state.call_times[this->route->name];
}

gateway::AnswerRun Forwarding::FindRun() const {
  const TimePoint now = EventLoop::Now();
  const TimePoint sent = *this->first_sent_at;
  if (!this->caller.has_begun) {
    return {.first = now - sent};
  }
  const TimePoint first_event = this->arrived + this->first_event_after;
  return {.first = first_event - sent,
          .events = this->events,
          .rest = this->last_event_at - first_event,
          .longest_pause = this->longest_pause};
}

void Forwarding::RecordWholeRun() const {
  gateway::RecordWhole(this->answer_times(), this->FindRun(), EventLoop::Now());
}

void Forwarding::RecordPartialRun() const {
  // An open call shows how long its server is silent, which says nothing of the
  // next one; an open stream shows how its group passes.
  if (!this->first_sent_at || this->is_finished || !this->is_streaming()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  gateway::AnswerRun run = this->FindRun();
  if (this->caller.has_begun) {
    run.longest_pause = std::max(run.longest_pause, now - this->last_event_at);
    run.rest = now - (this->arrived + this->first_event_after);
  }
  gateway::RecordPart(this->answer_times(), run, now);
}

void Forwarding::EndByStop() {
  if (this->is_finished) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  this->LogCutByStop();
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  this->ReleaseTarget(gateway::Outcome::kGood);
  this->EndUnserved(
      {.cause = "the gateway stops",
       .may_have_run = this->may_have_run,
       .status_if_run = kGatewayTimeout,
       .refusal_headers = {{"retry-after", FormatRetryAfter({})}}});
}

void Forwarding::LogCutByStop() const {
  const TimePoint now = EventLoop::Now();
  const bool is_at_target = this->call != nullptr;
  const std::string at = this->caller.has_begun ? "answer"
                         : is_at_target         ? "target"
                                                : "gateway";
  Log(LogLevel::kWarning, "drain", "cut_by_stop",
      {{"request", this->id},
       {"service", this->service},
       {"at", at},
       {"target", this->target_id},
       {"group", this->group},
       {"arrived_ms",
        ToMillisecondsText(this->arrived - this->state.stop->began)},
       {"sent_ms_ago",
        ToMillisecondsText(is_at_target ? now - this->sent_at : Duration(0))},
       {"left_ms", ToMillisecondsText(this->deadline - now)}});
  telemetry::Count(kCutByStop, {{"service", this->service}, {"at", at}});
}

}  // namespace bramleyspan::gatewayd
