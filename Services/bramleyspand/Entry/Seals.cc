#include "LibClaims/Seal.h"

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

wire::ClaimsSealedT ToFrame(const claims::ClaimsSeal& seal) {
  wire::ClaimsSealedT frame;
  frame.agent = seal.agent;
  frame.incarnation = seal.incarnation;
  frame.oldest_epoch = seal.oldest_epoch;
  frame.may_have_run.assign(seal.may_have_run.begin(), seal.may_have_run.end());
  return frame;
}

claims::ClaimsSeal ParseSeal(const wire::ClaimsSealedT& frame) {
  return {
      .agent = frame.agent,
      .incarnation = frame.incarnation,
      .oldest_epoch = frame.oldest_epoch,
      .may_have_run = {frame.may_have_run.begin(), frame.may_have_run.end()}};
}

}  // namespace

void HandleSeal(EntryState& state, const wire::ClaimsSealedT& frame) {
  const TimePoint now = EventLoop::Now();
  claims::ForgetOldSeals(state.seals, now);
  if (!claims::AddSeal(state.seals, ParseSeal(frame), now)) {
    return;
  }
  telemetry::Log(telemetry::LogLevel::kInfo, "calls", "claims_sealed",
                 {{"agent", frame.agent}});
  // Entries whose link to the agent was down get the record from here.
  for (const auto& [name, link] : state.links) {
    if (link.role == "entry") {
      link.connection->Send(wire::Encode(frame));
    }
  }
}

void SendSeals(const EntryState& state, wire::Connection& connection) {
  for (const auto& [id, seal] : state.seals.seals) {
    connection.Send(wire::Encode(ToFrame(seal)));
  }
}

bool AnswerBySeal(EntryState& state, const claims::ClaimKey& key, uint64_t id) {
  switch (claims::DecideBySeal(state.seals, key)) {
    case claims::SealDecision::kNotSealed:
      return false;
    case claims::SealDecision::kNotRun:
      RefuseCall(state, id, ErrorCode::kLeaving,
                 "the target has stopped; take a new key");
      return true;
    case claims::SealDecision::kMayHaveRun:
      state.calls.at(id).attempt.may_have_run = true;
      RefuseCall(state, id, ErrorCode::kAnswerGone,
                 "the target has stopped; the call may have run", Duration(0));
      return true;
  }
  return false;
}

}  // namespace bramleyspan::entry
