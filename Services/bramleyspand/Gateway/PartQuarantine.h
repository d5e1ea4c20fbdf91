// Keeps requests with quarantined parts from all targets, together with the
// other gateways, and logs why.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "LibGateway/Quarantine.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/QuarantineDocuments.h"

namespace bramleyspan::gatewayd {

class PartQuarantine {
 public:
  // Sends a datagram to all live gateways.
  using SendToGateways = std::function<void(const std::string& bytes)>;

  PartQuarantine(GatewayState& state, SendToGateways send)
      : state(state), send(std::move(send)), documents(state) {}

  // Reads the quarantines that outlived the gateways. The store of the state
  // must be open.
  void Start();

  void RecordTargetEnd(const std::string& service,
                       const std::string& target,
                       TimePoint at,
                       const std::vector<std::string>& parts);
  void RecordAnswerBegin(const std::string& service,
                         const std::vector<std::string>& parts);
  void RecordAnswer(const std::string& service,
                    const std::vector<std::string>& parts);
  void RecordTrial(const std::string& request,
                   const std::string& service,
                   const std::vector<std::string>& parts);

  gateway::PartDecision Admit(const std::string& service,
                              const std::vector<std::string>& parts) const;
  // Counts a request that was rejected because of the part.
  void RecordRejected(const std::string& service, const std::string& part);
  bool may_repeat(const std::string& service,
                  const std::vector<std::string>& parts) const;
  // Whether a request with these parts may have ended its target: one of them
  // was not answered lately.
  bool may_be_cause(const std::string& service,
                    const std::vector<std::string>& parts) const;

  void HandleReport(const membership::wire::PartReportT& report);
  // Returns the reports for the next heartbeat.
  std::vector<std::unique_ptr<membership::wire::PartReportT>> ReportsToSend();

  // Ends a quarantine at an operator's request. Returns whether there was one.
  bool Release(const gateway::PartKey& key);

  void RemoveOld();
  void UpdateGauges() const;
  nlohmann::json Dump() const;

 private:
  // Starts quarantines that this gateway has decided on.
  void Begin(const std::vector<gateway::PartKey>& parts);
  void HandleBegin(const gateway::PartKey& key, std::string_view heard_from);
  void HandleRelease(const gateway::PartKey& key, std::string_view cause);
  void Merge(const gateway::PartKey& key,
             const gateway::PartRecord& reported,
             std::string_view heard_from);
  void ScheduleReports();

  GatewayState& state;
  SendToGateways send;
  gateway::Quarantine quarantine;
  QuarantineDocuments documents;
  bool is_report_scheduled = false;
};

}  // namespace bramleyspan::gatewayd
