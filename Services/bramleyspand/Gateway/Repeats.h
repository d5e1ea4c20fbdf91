// The repeat budget of a gateway: reports what was repeated here to the other
// gateways, merges their reports, and decides whether a request may be sent to
// a further target.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibGateway/RepeatBudget.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class Repeats {
 public:
  using SendDatagram =
      std::function<void(const std::string& ip, const std::string& bytes)>;
  using SendToGateways = std::function<void(const std::string& bytes)>;

  Repeats(GatewayState& state, SendDatagram send, SendToGateways send_to_all)
      : state(state),
        send(std::move(send)),
        send_to_all(std::move(send_to_all)) {}

  void Start();
  void HandleSettings();

  void RecordRequest(const std::string& service);

  // Reserves a repeat for the request, and logs by what it was decided. A
  // reserved repeat is either sent or released.
  bool Reserve(const std::string& request,
               const std::string& service,
               std::string_view cause);
  void RecordSent(const std::string& service);
  void Release(const std::string& service);

  // Adds the report of this gateway to a heartbeat.
  void AddReport(membership::wire::HeartbeatT& heartbeat);
  void HandleHeartbeat(const std::string& from_ip,
                       const membership::wire::HeartbeatT& heartbeat);

  // Tells the others that this process ends, and all that it has repeated.
  void SendFinalReport();

  void UpdateGauges() const;

  // Null if nothing was repeated.
  nlohmann::json Dump() const;

 private:
  gateway::RepeatUse FindUse(const std::string& service) const;
  std::set<std::string> OtherGateways() const;
  // In a large fleet the reports of all would take too many bytes.
  bool is_reporting() const;
  void ScheduleReport();
  void SendReport();
  void SendAll(const std::string& ip);

  GatewayState& state;
  SendDatagram send;
  SendToGateways send_to_all;
  gateway::RepeatBudget budget;
  bool is_report_scheduled = false;
};

}  // namespace bramleyspan::gatewayd
