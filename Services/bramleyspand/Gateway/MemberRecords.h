// The gateways' records in the store. Others learn a new process's address from
// there when no process that the settings name is up.
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
  // The more gateways there are the longer: the store's calls are paid for and
  // do not grow with the fleet.
  Duration Interval() const;

  GatewayState& state;
  uint64_t lease = 0;
  bool is_lease_call_open = false;
};

}  // namespace bramleyspan::gatewayd
