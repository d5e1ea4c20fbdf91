// Admission of an agent's calls to the back end.
#pragma once

#include "Services/bramleyspand/Agent/AgentState.h"

namespace bramleyspan::agent {

// Sends a call to the back end (Calls.cc).
void Forward(AgentState& state, const wire::CallT& call, uint64_t forward);

// Performs the effects of decisions about calls (Calls.cc).
void Perform(AgentState& state, const calls::Effects& effects);

// Starts, queues or refuses a call that `state.calls` allows to run.
void SubmitCall(AgentState& state, const wire::CallT& call, uint64_t forward);

// Records that the back end sent a part of its answer.
void RecordProgress(AgentState& state, uint64_t forward);

// Releases the slot of a forward that ended, or was cancelled while waiting or
// running; the next waiting call gets it. `is_measured` is true for a complete
// answer.
void ReleaseSlot(AgentState& state, uint64_t forward, bool is_measured);

// Refuses waiting calls that can no longer be answered in time.
void RefuseLateCalls(AgentState& state);

// Returns the answer to a probe.
wire::EstimateT EstimateFor(const AgentState& state, const wire::ProbeT& probe);

}  // namespace bramleyspan::agent
