#include "Services/bramleyspand/Agent/Admission.h"

#include <algorithm>

namespace bramleyspan::agent {

namespace {

catalogue::ServiceClass ClassOf(uint8_t number) {
  constexpr auto kLast = static_cast<uint8_t>(catalogue::ServiceClass::kBatch);
  return static_cast<catalogue::ServiceClass>(std::min(number, kLast));
}

// Refuses a call that did not start. The claim key is invalidated before the
// caller gets "not run", so that no late duplicate runs after it.
void RefuseUnstarted(AgentState& state,
                     uint64_t forward,
                     Duration retry_after) {
  Perform(state, calls::RefuseForward(
                     state.calls, forward, ErrorCode::kDeadlineUnmeetable,
                     "the target cannot answer in time", retry_after));
}

// Returns the time for which the back end takes no call; zero if it takes one.
Duration BackoffLeft(const AgentState& state) {
  return std::max<Duration>(
      Duration(0), limits::BackoffHeldUntil(state.backoff) - EventLoop::Now());
}

void RefuseForBackoff(AgentState& state, uint64_t forward) {
  Perform(state,
          calls::RefuseForward(state.calls, forward, ErrorCode::kUnavailable,
                               "the back end takes no calls for a time",
                               BackoffLeft(state)));
}

void StartWaitingCall(AgentState& state, uint64_t forward) {
  const auto waiting = state.waiting.extract(forward);
  if (waiting.empty()) {
    return;
  }
  if (BackoffLeft(state) > Duration(0)) {
    RefuseForBackoff(state, forward);
    ReleaseSlot(state, forward, /*is_measured=*/false);
    return;
  }
  Forward(state, waiting.mapped(), forward);
}

void PerformAdmission(AgentState& state, const admission::Effects& effects) {
  for (const admission::Refusal& refused : effects.refuse) {
    state.waiting.erase(refused.id);
    RefuseUnstarted(state, refused.id, refused.retry_after);
  }
  for (const uint64_t forward : effects.start) {
    StartWaitingCall(state, forward);
  }
}

}  // namespace

void SubmitCall(AgentState& state, const wire::CallT& call, uint64_t forward) {
  if (BackoffLeft(state) > Duration(0)) {
    RefuseForBackoff(state, forward);
    return;
  }
  const TimePoint now = EventLoop::Now();
  const admission::Decision decision = admission::Decide(
      state.admission,
      {.id = forward,
       .service_class = ClassOf(call.service_class),
       .deadline = now + Duration(call.remaining_microseconds),
       .prompt_tokens = call.prompt_tokens,
       .prefix = call.prefix},
      now);
  switch (decision.verdict) {
    case admission::Verdict::kStart:
      Forward(state, call, forward);
      return;
    case admission::Verdict::kWait:
      state.waiting.emplace(forward, call);
      return;
    case admission::Verdict::kRefuse:
      RefuseUnstarted(state, forward, decision.retry_after);
      return;
  }
}

void RecordProgress(AgentState& state, uint64_t forward) {
  admission::HandleProgress(state.admission, forward, EventLoop::Now());
}

void ReleaseSlot(AgentState& state, uint64_t forward, bool is_measured) {
  state.waiting.erase(forward);
  if (admission::Withdraw(state.admission, forward)) {
    return;
  }
  PerformAdmission(state, admission::HandleEnd(state.admission, forward,
                                               is_measured, EventLoop::Now()));
}

void RefuseLateCalls(AgentState& state) {
  PerformAdmission(state, admission::Review(state.admission, EventLoop::Now()));
}

wire::EstimateT EstimateFor(const AgentState& state,
                            const wire::ProbeT& probe) {
  const admission::Estimate estimate =
      admission::EstimateFor(state.admission,
                             {.service_class = ClassOf(probe.service_class),
                              .prompt_tokens = probe.prompt_tokens,
                              .prefix = probe.prefix},
                             EventLoop::Now());
  wire::EstimateT frame;
  frame.probe = probe.probe;
  frame.is_admitting = !state.is_leaving;
  frame.in_flight = estimate.in_flight;
  frame.first_token_microseconds =
      (estimate.first_token + BackoffLeft(state)).count();
  frame.cached_tokens = estimate.cached_tokens;
  return frame;
}

}  // namespace bramleyspan::agent
