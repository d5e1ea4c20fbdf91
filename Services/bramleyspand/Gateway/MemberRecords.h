// Maintains the records of gateways in the store. Other gateways read the
// address of a new process there when no process that their settings name is
// running.
#pragma once

#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class MemberRecords {
 public:
  explicit MemberRecords(GatewayState& state) : state(state) {}

  void Start();

 private:
  void ReadAll();
  void MaintainOwnRecord();
  void WriteOwnRecord();
  // Returns the time between two calls. It grows with the number of gateways,
  // so that the number of store calls, which are charged, does not grow with
  // the fleet.
  Duration Interval() const;

  GatewayState& state;
  uint64_t lease = 0;
  bool is_lease_call_open = false;
};

}  // namespace bramleyspan::gatewayd
