// One quarantine of a gateway: merges what all gateways know, keeps it in the
// store, and logs why requests are kept from targets. A single request counts
// as a part, its digest.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "LibGateway/Quarantine.h"
#include "LibTelemetry/Metrics.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/QuarantineDocuments.h"

namespace bramleyspan::gatewayd {

using PartReport = std::unique_ptr<membership::wire::PartReportT>;

// What one quarantine is of.
struct QuarantineKind {
  // Names it in logs and metrics.
  std::string_view name;
  gateway::QuarantineRules rules;
  std::string_view documents_prefix;
  // The store removes documents after this time; 0 keeps them.
  Duration documents_lifetime{};
  // The gauge of those that are in force.
  telemetry::MetricName quarantined;
};

class PartQuarantine {
 public:
  // Sends reports to all live gateways.
  using SendReports = std::function<void(std::vector<PartReport>)>;

  PartQuarantine(GatewayState& state, QuarantineKind kind, SendReports send)
      : state(state),
        kind(kind),
        send(std::move(send)),
        quarantine{.rules = kind.rules},
        documents(state, kind.documents_prefix, kind.documents_lifetime) {}

  void Start();

  void RecordTargetEnd(const std::string& service,
                       const gateway::TargetEnd& end,
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
  // Whether targets have ended under the part.
  bool has_ends(const std::string& service, const std::string& part) const;

  void HandleReports(const std::vector<PartReport>& reports);
  // Returns the reports for the next heartbeat.
  std::vector<PartReport> ReportsToSend();

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
  void HandleReport(const membership::wire::PartReportT& report);
  void ScheduleReports();
  void SendReportsNow(size_t messages_left);
  // Returns the name of an event in logs, such as part_quarantined.
  std::string EventName(std::string_view event) const;

  GatewayState& state;
  QuarantineKind kind;
  SendReports send;
  gateway::Quarantine quarantine;
  QuarantineDocuments documents;
  bool is_report_scheduled = false;
};

}  // namespace bramleyspan::gatewayd
