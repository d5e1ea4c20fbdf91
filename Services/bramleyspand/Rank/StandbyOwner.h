// What an agent does when the owner of its group's map falls silent in the
// middle of a switch.
//
// Failure: the owner is killed, frozen or cut off between its hold and its go;
// it shows as a group that has requests and begins no pass. The deputy reads
// all ranks from afar, arms those that are not armed for the held pass and lets
// go. That is safe beside an owner that wakes up: both give the same orders.
#pragma once

#include <functional>
#include <memory>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class Deputy {
 public:
  using SendOrder =
      std::function<void(const Address& server, const mapswitch::Order& order)>;

  Deputy(RankState& state, SendOrder send_order)
      : state(state), send_order(std::move(send_order)) {}

  // Takes the own rank's newest report.
  void HandleOwnStatus(TimePoint now);

 private:
  bool is_needed(TimePoint now);
  void ReadAllRanks();
  void HandleReport(const Address& server, const std::string& body);

  RankState& state;
  SendOrder send_order;
  mapswitch::MapSwitch map_switch;
  mapswitch::Step last_step = 0;
  TimePoint step_changed;
  TimePoint last_round;
};

}  // namespace bramleyspan::rankd
