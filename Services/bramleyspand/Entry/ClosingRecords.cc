#include "LibClaims/ClosingRecord.h"

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

wire::ClaimsSealedT ToFrame(const claims::ClosingRecord& closing_record) {
  wire::ClaimsSealedT frame;
  frame.agent = closing_record.agent;
  frame.incarnation = closing_record.incarnation;
  frame.oldest_epoch = closing_record.oldest_epoch;
  frame.may_have_run.assign(closing_record.may_have_run.begin(),
                            closing_record.may_have_run.end());
  return frame;
}

claims::ClosingRecord ParseClosingRecord(const wire::ClaimsSealedT& frame) {
  return {
      .agent = frame.agent,
      .incarnation = frame.incarnation,
      .oldest_epoch = frame.oldest_epoch,
      .may_have_run = {frame.may_have_run.begin(), frame.may_have_run.end()}};
}

}  // namespace

void HandleClosingRecord(EntryState& state, const wire::ClaimsSealedT& frame) {
  const TimePoint now = EventLoop::Now();
  claims::RemoveOldClosingRecords(state.closing_records, now);
  if (!claims::AddClosingRecord(state.closing_records,
                                ParseClosingRecord(frame), now)) {
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

void SendClosingRecords(const EntryState& state, wire::Connection& connection) {
  for (const auto& [id, closing_record] :
       state.closing_records.closing_records) {
    connection.Send(wire::Encode(ToFrame(closing_record)));
  }
}

bool AnswerByClosingRecord(EntryState& state,
                           const claims::ClaimKey& key,
                           uint64_t id) {
  switch (claims::DecideByClosingRecord(state.closing_records, key)) {
    case claims::ClosingRecordDecision::kNoClosingRecord:
      return false;
    case claims::ClosingRecordDecision::kNotRun:
      RefuseCall(state, id, ErrorCode::kLeaving,
                 "the target has stopped; take a new key");
      return true;
    case claims::ClosingRecordDecision::kMayHaveRun:
      state.calls.at(id).attempt.may_have_run = true;
      RefuseCall(state, id, ErrorCode::kAnswerGone,
                 "the target has stopped; the call may have run", Duration(0));
      return true;
  }
  return false;
}

}  // namespace bramleyspan::entry
