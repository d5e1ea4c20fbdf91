// How an agent's calls pass admission on their way to the back end.
#pragma once

#include "Services/bramleyspand/Agent/AgentState.h"

namespace bramleyspan::agent {

// Hands a call to the back end (Calls.cc).
void Forward(AgentState& state, const wire::CallT& call, uint64_t forward);

// Performs the effects of decisions about calls (Calls.cc).
void Perform(AgentState& state, const calls::Effects& effects);

// Starts, queues or refuses a call that `state.calls` lets run.
void SubmitCall(AgentState& state, const wire::CallT& call, uint64_t forward);

// The back end sent a part of its answer.
void NoteProgress(AgentState& state, uint64_t forward);

// A forward ended, or was cancelled while it waited or ran; its slot goes to
// the next. `is_measured` is true for a complete answer.
void ReleaseSlot(AgentState& state, uint64_t forward, bool is_measured);

// Gives up what waits in vain.
void ReviewWaiting(AgentState& state);

// Answers a probe.
wire::EstimateT EstimateFor(const AgentState& state, const wire::ProbeT& probe);

}  // namespace bramleyspan::agent
