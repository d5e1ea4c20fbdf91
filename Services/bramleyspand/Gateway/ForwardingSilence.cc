// What becomes of a request whose target sends nothing, or whose caller leaves.
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/SilentTargets.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::ToMillisecondsText;
using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

std::optional<gateway::OwedStream> Forwarding::FindOwed() const {
  if (this->call == nullptr || this->is_finished || !this->is_streaming() ||
      !this->route->is_repeatable()) {
    return std::nullopt;
  }
  const TimePoint heard_at =
      this->caller.has_begun ? this->last_event_at : this->arrived;
  // Once it has begun, the attempt's own timer runs from the last event, as the
  // caller's patience does.
  return gateway::OwedStream{
      .since = std::max(this->sent_at, heard_at),
      .caller_leaves_at = this->caller.has_begun
                              ? TimePoint::max()
                              : heard_at + this->route->event_timeout};
}

void Forwarding::MoveFromSilentTarget() {
  if (this->is_finished || this->call == nullptr) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  const TimePoint now = EventLoop::Now();
  Log(LogLevel::kWarning, "forward", "target_owes_events",
      {{"request", this->id},
       {"target", this->target_id},
       {"group", this->group},
       {"silent_ms", ToMillisecondsText(this->state.silent_targets->SilentFor(
                         this->target_id))},
       {"sent_ms_ago", ToMillisecondsText(now - this->sent_at)}});
  telemetry::Count(kMovedStreams, {{"service", this->service}});
  std::exchange(this->call, nullptr)->Cancel();
  this->state.loop.Cancel(std::exchange(this->attempt_timer, 0));
  this->HandleFailed(http::CallEnd::kTimeout);
}

void Forwarding::LogCallerLeft() const {
  const TimePoint now = EventLoop::Now();
  const bool is_at_target = this->call != nullptr;
  const Duration silent_for =
      is_at_target ? this->state.silent_targets->SilentFor(this->target_id)
                   : Duration(0);
  const TimePoint heard_at =
      this->caller.has_begun ? this->last_event_at : this->sent_at;
  Log(LogLevel::kInfo, "forward", "caller_left",
      {{"request", this->id},
       {"at", is_at_target ? "target" : "gateway"},
       {"target", this->target_id},
       {"group", this->group},
       {"closed_to_target", is_at_target ? "now" : "no"},
       {"since_event_ms",
        ToMillisecondsText(is_at_target ? now - heard_at : Duration(0))},
       {"target_silent_ms", ToMillisecondsText(silent_for)},
       {"attempts", std::to_string(this->tried.size())}});
  telemetry::Count(kCallersLeft,
                   {{"service", this->service},
                    {"at", !is_at_target              ? "gateway"
                           : silent_for > Duration(0) ? "silent_target"
                                                      : "target"}});
}

void Forwarding::HandleCallerGone() {
  auto keep_until_return = this->shared_from_this();
  this->LogCallerLeft();
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  this->ReleaseTarget(gateway::Outcome::kGood);
  this->Finish("caller_left", 0);
}

}  // namespace bramleyspan::gatewayd
