#include "Services/bramleyspand/Entry/EntryStop.h"

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Answers.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

using drain::StopPhase;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(1);
// A caller sends its next request on a kept connection within this time, or
// may not need it for long.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(300);

}  // namespace

void EntryStop::Start(http::Server& server) {
  const TimePoint now = EventLoop::Now();
  // Callers cache addresses and may still connect here, so the entry serves
  // until all cached answers have expired.
  this->stop = drain::Begin(
      {.notice = kAddressLifetime, .bound = this->state.settings.drain_bound},
      now);
  this->callers = &server;
  this->logged_at = now;
  // A request that arrives on a persistent connection just as this process
  // exits gets no answer. The next answer of each connection therefore closes
  // it, so that the caller reconnects in time.
  this->callers->StartDrain();
  this->LogWork("drain_started", this->FindWork());
  this->Check();
}

drain::StopWork EntryStop::FindWork() const {
  const http::ServerWork work = this->callers->CountWork();
  return {.open = this->callers->open_exchanges(),
          .reading = work.reading,
          .delivering = work.delivering,
          .idle = work.idle};
}

void EntryStop::Check() {
  const TimePoint now = EventLoop::Now();
  const StopPhase before = this->stop.phase;
  const drain::StopWork work = this->FindWork();
  const StopPhase phase = drain::Advance(this->stop, work, true, now);
  if (phase != before) {
    this->LeavePhase(before, work);
  }
  if (phase == StopPhase::kEnded) {
    this->LogWork("drain_ended", this->FindWork());
    this->state.loop.Stop();
    return;
  }
  if (phase != StopPhase::kServing) {
    this->callers->CloseIdle(phase == StopPhase::kFinishing ? kIdleBeforeClose
                                                            : Duration(0));
  }
  if (now - this->logged_at >= kLogInterval) {
    this->logged_at = now;
    this->LogWork("drain_waits", work);
  }
  this->state.loop.RunAfter(
      drain::TimeUntilCheck(this->stop, kCheckInterval, now),
      [this] { this->Check(); });
}

void EntryStop::LeavePhase(StopPhase before, const drain::StopWork& work) {
  if (before == StopPhase::kServing) {
    this->LogWork("drain_closes_address", work);
    this->callers->StopListening();
  }
  const bool is_bound_reached =
      this->stop.phase == StopPhase::kEnding ||
      (before != StopPhase::kEnding && !work.is_done());
  if (this->stop.phase >= StopPhase::kEnding && is_bound_reached) {
    this->LogWork("drain_bound_reached", work);
    this->EndOpen();
  }
}

void EntryStop::EndOpen() {
  this->state.is_ending = true;
  EndCallsByStop(this->state);
  EndClaimRequestsByStop(this->state);
  this->callers->RefuseReading(
      ToResponse({.error = {ErrorCode::kLeaving, this->state.settings.name,
                            "this entry stops; use another one"},
                  // A request with a claim key may have run elsewhere.
                  .run = RunState::kUnknown,
                  .retry_after = kRetryAfter}));
}

void EntryStop::LogWork(std::string_view event,
                        const drain::StopWork& work) const {
  const auto for_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      EventLoop::Now() - this->stop.began);
  Log(LogLevel::kInfo, "drain", event,
      {{"phase", std::string(drain::NameOf(this->stop.phase))},
       {"open", std::to_string(work.open)},
       {"reading", std::to_string(work.reading)},
       {"delivering", std::to_string(work.delivering)},
       {"idle", std::to_string(work.idle)},
       {"for_ms", std::to_string(for_time.count())}});
}

}  // namespace bramleyspan::entry
