#include "Services/bramleyspand/Gateway/GatewayStop.h"

#include <memory>
#include <utility>
#include <vector>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kUnavailable;
using detail::ToMillisecondsText;
using drain::StopPhase;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(1);
constexpr Duration kQuietBeforeStop = std::chrono::milliseconds(700);
// A caller sends its next request on a kept connection within this time, or
// may not need it for long.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(300);

// Callers keep the answer of the directory, some of them three times as long as
// its lifetime, and may connect until then.
Duration NoticeOf(const FleetSettings& fleet) {
  constexpr Duration kSlack = std::chrono::milliseconds(500);
  return fleet.directory_lifetime * 3 + kSlack;
}

}  // namespace

void GatewayStop::Start(http::Ingress& ingress) {
  const TimePoint now = EventLoop::Now();
  const FleetSettings& fleet = this->state.fleet();
  this->state.stop = drain::Begin({.notice = NoticeOf(fleet),
                                   .quiet = kQuietBeforeStop,
                                   .bound = fleet.stop_bound},
                                  now);
  this->callers = &ingress;
  this->logged_at = now;
  this->callers->StartDrain();
  this->LogWork("drain_started");
  this->Check();
}

drain::StopWork GatewayStop::FindWork() const {
  const http::IngressWork work = this->callers->CountWork();
  return {.open = this->state.open.size(),
          .reading = work.reading,
          .delivering = work.delivering,
          .idle = work.idle,
          .has_others = has_other_gateways(this->state, EventLoop::Now()),
          .last_request = this->state.last_request};
}

void GatewayStop::Check() {
  const TimePoint now = EventLoop::Now();
  for (const auto& [number, forwarding] : this->state.open) {
    forwarding->RecordPartialRun();
  }
  const StopPhase before = this->stop().phase;
  const drain::StopWork work = this->FindWork();
  const StopPhase phase =
      drain::Advance(this->stop(), work, this->is_usage_written, now);
  if (phase != before) {
    this->LeavePhase(before, work);
  }
  if (phase == StopPhase::kEnded) {
    this->LogWork("drain_ended");
    this->repeats.SendFinalReport();
    this->state.loop.Stop();
    return;
  }
  if (phase != StopPhase::kServing) {
    this->callers->CloseIdle(phase == StopPhase::kFinishing ? kIdleBeforeClose
                                                            : Duration(0));
    if (work.is_done() || phase == StopPhase::kEnding) {
      this->WriteUsageOnce();
    }
  }
  if (now - this->logged_at >= kLogInterval) {
    this->logged_at = now;
    this->LogWork("drain_waits");
  }
  this->state.loop.RunAfter(
      drain::TimeUntilCheck(this->stop(), kCheckInterval, now),
      [this] { this->Check(); });
}

void GatewayStop::LeavePhase(StopPhase before, const drain::StopWork& work) {
  const StopPhase phase = this->stop().phase;
  if (before == StopPhase::kServing) {
    this->LogWork("drain_closes_address");
    this->callers->StopListening();
  }
  const bool is_bound_reached =
      phase == StopPhase::kEnding ||
      (before != StopPhase::kEnding && !work.is_done());
  if (phase >= StopPhase::kEnding && is_bound_reached) {
    this->LogWork("drain_bound_reached");
    this->EndOpen();
  }
}

void GatewayStop::EndOpen() {
  std::vector<std::shared_ptr<Forwarding>> open;
  for (const auto& [number, forwarding] : this->state.open) {
    open.push_back(forwarding->shared_from_this());
  }
  for (const auto& forwarding : open) {
    forwarding->EndByStop();
  }
  const bool has_others = has_other_gateways(this->state, EventLoop::Now());
  this->callers->RefuseReading(
      kUnavailable,
      has_others ? http::HeaderList{{"retry-after", "0"}} : http::HeaderList{});
}

void GatewayStop::LogWork(std::string_view event) const {
  const http::IngressWork work = this->callers->CountWork();
  const TimePoint now = EventLoop::Now();
  Log(LogLevel::kInfo, "drain", event,
      {{"phase", std::string(drain::NameOf(this->state.stop->phase))},
       {"open", std::to_string(this->state.open.size())},
       {"waiting", std::to_string(this->state.waiting.size())},
       {"reading", std::to_string(work.reading)},
       {"delivering", std::to_string(work.delivering)},
       {"idle", std::to_string(work.idle)},
       {"for_ms", ToMillisecondsText(now - this->state.stop->began)}});
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
