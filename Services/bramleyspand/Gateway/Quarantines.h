// The two quarantines of a gateway, which every request passes: that of parts
// that prompts share, and that of single requests.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "Services/bramleyspand/Gateway/LostRequest.h"
#include "Services/bramleyspand/Gateway/PartQuarantine.h"

namespace bramleyspan::gatewayd {

struct QuarantineDecision {
  gateway::PartVerdict verdict = gateway::PartVerdict::kAdmitted;
  // Why it is rejected, for the caller, and when it is tried again.
  std::string cause;
  TimePoint until;
};

class Quarantines {
 public:
  // Sends a datagram to all live gateways.
  using SendToGateways = std::function<void(const std::string& bytes)>;

  Quarantines(GatewayState& state, const SendToGateways& send);

  // Reads the quarantines that outlived the gateways. The store of the state
  // must be open.
  void Start();

  // Records that a target ended with these requests, of one service. The parts
  // of those that it had answered are no suspects, but each request is until
  // its answer is whole.
  void RecordTargetEnd(const std::vector<LostRequest>& lost, TimePoint at);
  // An answer began, has gone on for a while, and is whole.
  void RecordAnswerBegin(const RequestMarks& marks);
  void RecordAnswer(const RequestMarks& marks);
  void RecordWholeAnswer(const RequestMarks& marks);
  void RecordTrial(const std::string& request, const RequestMarks& marks);

  QuarantineDecision Admit(const RequestMarks& marks) const;
  // Counts a request that was rejected.
  void RecordRejected(const RequestMarks& marks);
  bool may_repeat(const RequestMarks& marks) const;
  // Whether the end of its target, which has answered the request for a while
  // or not, would speak against it: a shared part was not answered lately, or a
  // target has ended under the request before.
  bool is_suspect(const RequestMarks& marks, bool is_answered) const;

  // Fills the reports of a heartbeat, and handles those of one.
  void AddReports(membership::wire::HeartbeatT& heartbeat);
  void HandleReports(const membership::wire::HeartbeatT& heartbeat);

  // Ends a quarantine at an operator's request. Returns whether there was one.
  bool Release(const std::string& service, const std::string& name);

  void RemoveOld();
  void UpdateGauges() const;
  nlohmann::json Dump() const;

 private:
  PartQuarantine parts;
  PartQuarantine requests;
};

}  // namespace bramleyspan::gatewayd
