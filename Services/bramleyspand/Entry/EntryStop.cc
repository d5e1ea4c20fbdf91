#include "Services/bramleyspand/Entry/EntryStop.h"

#include <algorithm>

#include "Services/bramleyspand/Answers.h"
#include "Services/bramleyspand/Entry/Calls.h"
#include "Services/bramleyspand/StopLog.h"

namespace bramleyspan::entry {

namespace {

using drain::StopPhase;

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
  LogStop("drain_started", this->stop, this->FindWork());
  this->Check();
}

drain::StopWork EntryStop::FindWork() const {
  const http::ServerWork work = this->callers->CountWork();
  const auto waiting = std::ranges::count_if(
      this->state.calls,
      [](const auto& call) { return call.second.target.empty(); });
  return {.open = this->callers->open_exchanges(),
          .waiting = static_cast<size_t>(waiting),
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
    LogStop("drain_ended", this->stop, this->FindWork());
    this->state.loop.Stop();
    return;
  }
  if (phase != StopPhase::kServing) {
    this->callers->CloseIdle(drain::IdleBeforeClose(phase));
  }
  if (now - this->logged_at >= drain::kLogInterval) {
    this->logged_at = now;
    LogStop("drain_waits", this->stop, work);
  }
  this->state.loop.RunAfter(drain::TimeUntilCheck(this->stop, now),
                            [this] { this->Check(); });
}

void EntryStop::LeavePhase(StopPhase before, const drain::StopWork& work) {
  if (before == StopPhase::kServing) {
    LogStop("drain_closes_address", this->stop, work);
    this->callers->StopListening();
  }
  if (drain::has_reached_bound(this->stop, before, work)) {
    LogStop("drain_bound_reached", this->stop, work);
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

}  // namespace bramleyspan::entry
