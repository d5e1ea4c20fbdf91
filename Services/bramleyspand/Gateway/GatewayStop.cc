#include "Services/bramleyspand/Gateway/GatewayStop.h"

#include <memory>
#include <utility>
#include <vector>

#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/StopLog.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kUnavailable;
using drain::StopPhase;

constexpr Duration kQuietBeforeStop = std::chrono::milliseconds(700);

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
          .waiting = this->state.waiting.size(),
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
    this->callers->CloseIdle(drain::IdleBeforeClose(phase));
    if (work.is_done() || phase == StopPhase::kEnding) {
      this->WriteUsageOnce();
    }
  }
  if (now - this->logged_at >= drain::kLogInterval) {
    this->logged_at = now;
    this->LogWork("drain_waits");
  }
  this->state.loop.RunAfter(drain::TimeUntilCheck(this->stop(), now),
                            [this] { this->Check(); });
}

void GatewayStop::LeavePhase(StopPhase before, const drain::StopWork& work) {
  if (before == StopPhase::kServing) {
    this->LogWork("drain_closes_address");
    this->callers->StopListening();
  }
  if (drain::has_reached_bound(this->stop(), before, work)) {
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
  LogStop(event, *this->state.stop, this->FindWork());
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
