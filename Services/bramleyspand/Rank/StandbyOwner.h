// Completes a switch whose owner became unresponsive.
//
// Failure: the owner is killed, frozen or cut off between its hold and its go;
// the group has requests and begins no pass. The standby owner polls all ranks
// remotely, arms those that are not armed for the held pass and releases the
// group. That is safe even if the owner recovers, since both send the same
// orders.
#pragma once

#include <functional>
#include <memory>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class StandbyOwner {
 public:
  using SendOrder =
      std::function<void(const Address& server, const mapswitch::Order& order)>;

  StandbyOwner(RankState& state, SendOrder send_order)
      : state(state), send_order(std::move(send_order)) {}

  // Handles the own rank's newest report.
  void HandleOwnStatus(TimePoint now);

 private:
  bool is_needed(TimePoint now);
  void PollAllRanks();
  void HandleReport(const Address& server, const std::string& body);

  RankState& state;
  SendOrder send_order;
  mapswitch::MapSwitch map_switch;
  mapswitch::Step last_step = 0;
  TimePoint step_changed;
  TimePoint last_round;
};

}  // namespace bramleyspan::rankd
