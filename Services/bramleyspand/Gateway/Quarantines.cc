#include "Services/bramleyspand/Gateway/Quarantines.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using gateway::PartDecision;
using gateway::PartVerdict;

const QuarantineKind kPartsKind{.name = "part",
                                .documents_prefix = "bramleyspan/quarantine/",
                                .quarantined = kQuarantinedParts};
const QuarantineKind kRequestsKind{
    .name = "request",
    .rules = gateway::kRulesOfRequests,
    .documents_prefix = "bramleyspan/quarantined-requests/",
    .documents_lifetime = gateway::kRulesOfRequests.evidence_lifetime,
    .quarantined = kQuarantinedRequests};

}  // namespace

Quarantines::Quarantines(GatewayState& state, const SendToGateways& send)
    : parts(state,
            kPartsKind,
            [send](std::vector<PartReport> reports) {
              membership::wire::HeartbeatT message;
              message.parts = std::move(reports);
              send(membership::Encode(std::move(message)));
            }),
      requests(state, kRequestsKind, [send](std::vector<PartReport> reports) {
        membership::wire::HeartbeatT message;
        message.requests = std::move(reports);
        send(membership::Encode(std::move(message)));
      }) {}

void Quarantines::Start() {
  this->parts.Start();
  this->requests.Start();
}

void Quarantines::RecordTargetEnd(const std::vector<LostRequest>& lost,
                                  TimePoint at) {
  std::set<std::string> parts;
  for (const LostRequest& request : lost) {
    if (!request.is_answered) {
      parts.insert(request.marks.parts.begin(), request.marks.parts.end());
    }
  }
  const LostRequest& first = lost.front();
  this->parts.RecordTargetEnd(first.marks.service,
                              {.target = first.target, .at = at},
                              {parts.begin(), parts.end()});
  for (const LostRequest& request : lost) {
    this->requests.RecordTargetEnd(
        request.marks.service,
        {.target = request.target, .at = at, .sent_at = request.sent_at},
        {request.marks.digest});
  }
}

void Quarantines::RecordAnswerBegin(const RequestMarks& marks) {
  if (!marks.parts.empty()) {
    this->parts.RecordAnswerBegin(marks.service, marks.parts);
  }
}

void Quarantines::RecordAnswer(const RequestMarks& marks) {
  this->parts.RecordAnswer(marks.service, marks.parts);
}

void Quarantines::RecordWholeAnswer(const RequestMarks& marks) {
  this->requests.RecordAnswer(marks.service, {marks.digest});
}

void Quarantines::RecordTrial(const std::string& request,
                              const RequestMarks& marks) {
  this->parts.RecordTrial(request, marks.service, marks.parts);
  this->requests.RecordTrial(request, marks.service, {marks.digest});
}

QuarantineDecision Quarantines::Admit(const RequestMarks& marks) const {
  const PartDecision part = this->parts.Admit(marks.service, marks.parts);
  const PartDecision whole =
      this->requests.Admit(marks.service, {marks.digest});
  if (part.verdict == PartVerdict::kRejected) {
    return {
        .verdict = PartVerdict::kRejected,
        .cause = "targets end under the part " + part.part + " of the prompt",
        .until = std::max(part.until, whole.until)};
  }
  if (whole.verdict == PartVerdict::kRejected) {
    return {.verdict = PartVerdict::kRejected,
            .cause = "targets have ended under this request",
            .until = whole.until};
  }
  const bool is_trial = part.verdict == PartVerdict::kTrial ||
                        whole.verdict == PartVerdict::kTrial;
  return {.verdict = is_trial ? PartVerdict::kTrial : PartVerdict::kAdmitted};
}

void Quarantines::RecordRejected(const RequestMarks& marks) {
  const PartDecision part = this->parts.Admit(marks.service, marks.parts);
  if (part.verdict == PartVerdict::kRejected) {
    this->parts.RecordRejected(marks.service, part.part);
  } else {
    this->requests.RecordRejected(marks.service, marks.digest);
  }
}

bool Quarantines::may_repeat(const RequestMarks& marks) const {
  return this->parts.may_repeat(marks.service, marks.parts) &&
         this->requests.may_repeat(marks.service, {marks.digest});
}

bool Quarantines::is_suspect(const RequestMarks& marks,
                             bool is_answered) const {
  return (!is_answered &&
          this->parts.may_be_cause(marks.service, marks.parts)) ||
         this->requests.has_ends(marks.service, marks.digest);
}

void Quarantines::AddReports(membership::wire::HeartbeatT& heartbeat) {
  heartbeat.parts = this->parts.ReportsToSend();
  heartbeat.requests = this->requests.ReportsToSend();
}

void Quarantines::HandleReports(const membership::wire::HeartbeatT& heartbeat) {
  this->parts.HandleReports(heartbeat.parts);
  this->requests.HandleReports(heartbeat.requests);
}

bool Quarantines::Release(const std::string& service, const std::string& name) {
  const gateway::PartKey key{.service = service, .part = name};
  const bool is_part = this->parts.Release(key);
  return this->requests.Release(key) || is_part;
}

void Quarantines::RemoveOld() {
  this->parts.RemoveOld();
  this->requests.RemoveOld();
}

void Quarantines::UpdateGauges() const {
  this->parts.UpdateGauges();
  this->requests.UpdateGauges();
}

nlohmann::json Quarantines::Dump() const {
  nlohmann::json dump = this->parts.Dump();
  for (const nlohmann::json& request : this->requests.Dump()) {
    dump.push_back(request);
  }
  return dump;
}

}  // namespace bramleyspan::gatewayd
