#include "Services/bramleyspand/Agent/AgentStop.h"

#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"

namespace bramleyspan::agent {

namespace {

using drain::StopPhase;
using telemetry::Log;
using telemetry::LogLevel;

// Entries that have not received the Leaving frame may still send calls: the
// agent keeps running for this long and answers them with "not run" itself.
constexpr Duration kLeavingNoticeTime = std::chrono::seconds(2);
// Maximum time for the last answers to reach the entries.
constexpr Duration kMaxFlushTime = std::chrono::seconds(2);

}  // namespace

void AgentStop::Start() {
  this->stop = drain::Begin(
      {.notice = kLeavingNoticeTime, .bound = this->state.settings.drain_bound},
      EventLoop::Now());
  this->Check();
}

drain::StopWork AgentStop::FindWork() const {
  return {.open = this->state.calls.forwarded.size()};
}

void AgentStop::Check() {
  const TimePoint now = EventLoop::Now();
  const StopPhase before = this->stop.phase;
  const drain::StopWork work = this->FindWork();
  if (before != StopPhase::kServing && work.is_done()) {
    this->SendClosingRecordOnce();
  }
  const StopPhase phase =
      drain::Advance(this->stop, work, this->is_flushed(now), now);
  const bool is_bound_reached = phase >= StopPhase::kEnding && !work.is_done();
  if (is_bound_reached) {
    this->EndOpen();
    this->SendClosingRecordOnce();
  }
  if (phase == StopPhase::kEnded) {
    this->state.loop.Stop();
    return;
  }
  this->state.loop.RunAfter(drain::TimeUntilCheck(this->stop, now),
                            [this] { this->Check(); });
}

void AgentStop::EndOpen() {
  Log(LogLevel::kWarning, "drain", "drain_bound_reached",
      {{"cut", std::to_string(this->state.calls.forwarded.size())}});
  AbortAllCalls(this->state);
}

void AgentStop::SendClosingRecordOnce() {
  if (std::exchange(this->has_sent_closing_record, true)) {
    return;
  }
  SendClosingRecord(this->state);
  this->closing_record_sent_at = EventLoop::Now();
}

// The last bytes of an answer may still wait for a slow entry; stopping now
// would truncate an answer that the back end has completed.
bool AgentStop::is_flushed(TimePoint now) const {
  if (!this->has_sent_closing_record) {
    return false;
  }
  return now >= this->closing_record_sent_at + kMaxFlushTime ||
         std::all_of(this->state.connections.begin(),
                     this->state.connections.end(), [](const auto& connection) {
                       return connection->undelivered_bytes() == 0;
                     });
}

}  // namespace bramleyspan::agent
