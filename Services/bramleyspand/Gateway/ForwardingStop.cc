// What a planned stop of the process does to a request.
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kGatewayTimeout;
using detail::ToMillisecondsText;
using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

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
