#include "Services/bramleyspand/Gateway/GatewayStop.h"

#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::ToMillisecondsText;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(1);
// Callers keep the answer of the directory, some of them three times as long as
// its lifetime, and may connect until then.
constexpr Duration kMinDrainTime = std::chrono::milliseconds(3500);
constexpr Duration kQuietBeforeStop = std::chrono::milliseconds(700);
// Time left of the stop bound when all open requests are ended.
constexpr Duration kStopReserve = std::chrono::milliseconds(400);

}  // namespace

void GatewayStop::Start(http::Ingress& ingress) {
  this->callers = &ingress;
  this->began = EventLoop::Now();
  this->logged_at = this->began;
  this->callers->StartDrain();
  this->LogWork("drain_started");
  this->StopWhenIdle();
}

void GatewayStop::LogWork(std::string_view event) const {
  const http::IngressWork work = this->callers->CountWork();
  const TimePoint now = EventLoop::Now();
  Log(LogLevel::kInfo, "drain", event,
      {{"open", std::to_string(this->state.open.size())},
       {"waiting", std::to_string(this->state.waiting.size())},
       {"reading", std::to_string(work.reading)},
       {"delivering", std::to_string(work.delivering)},
       {"idle", std::to_string(work.idle)},
       {"since_request_ms", ToMillisecondsText(now - this->state.last_request)},
       {"for_ms", ToMillisecondsText(now - this->began)}});
}

void GatewayStop::LogCut() const {
  for (const auto& [number, forwarding] : this->state.open) {
    forwarding->LogCutByStop(this->began);
  }
}

void GatewayStop::StopWhenIdle() {
  const TimePoint now = EventLoop::Now();
  const Duration since = now - this->began;
  const Duration bound = this->state.fleet().stop_bound - kStopReserve;
  const bool is_idle = this->state.open.empty() &&
                       now - this->state.last_request > kQuietBeforeStop;
  const bool is_over = since > bound;
  const bool may_stop = is_idle && since > kMinDrainTime;
  if ((may_stop && this->is_usage_written) || is_over) {
    this->LogWork("drain_ended");
    this->LogCut();
    this->repeats.SendFinalReport();
    this->state.loop.Stop();
    return;
  }
  if (now - this->logged_at >= kLogInterval) {
    this->logged_at = now;
    this->LogWork("drain_waits");
  }
  if (may_stop || since > bound - kStopReserve) {
    this->WriteUsageOnce();
  }
  this->state.loop.RunAfter(kDrainCheckInterval,
                            [this] { this->StopWhenIdle(); });
}

// Usage counted since the last write would be missing from the bill. A store
// that does not answer delays the stop by kMaxLastWriteTime only.
void GatewayStop::WriteUsageOnce() {
  constexpr Duration kMaxLastWriteTime = std::chrono::milliseconds(250);
  if (std::exchange(this->is_writing_usage, true)) {
    return;
  }
  this->state.loop.RunAfter(kMaxLastWriteTime,
                            [this] { this->is_usage_written = true; });
  this->usage.Write([this] { this->is_usage_written = true; });
}

}  // namespace bramleyspan::gatewayd
