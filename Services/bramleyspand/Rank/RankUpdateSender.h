// Sends the status of a rank to the parent, which is the rank's leader or the
// owner of the group's map, and to the gateways unless a leader represents the
// rank.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "LibMapSwitch/SentUpdate.h"
#include "Services/bramleyspand/Rank/Leader.h"
#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class RankUpdateSender {
 public:
  // `on_own_update` handles the update of the owner's own rank.
  RankUpdateSender(
      RankState& state,
      Leader& leader,
      std::function<void(const membership::wire::RankNewsT&)> on_own_update)
      : state(state), leader(leader), on_own_update(std::move(on_own_update)) {}

  // Sends the rank's status to the parent if it is due or has changed.
  void SendUpdateIfDue();
  // Sends it unconditionally.
  void SendUpdate();
  // Includes the lists of the rank's experts in an update soon, since its map
  // has changed.
  void IncludeListsSoon();

  void SendToGateways();
  void SendToGateway(const std::string& ip);
  // Sends the own rank's status to a gateway, even if a leader represents the
  // rank.
  void SendOwnRankTo(const std::string& gateway_ip);

  // Records the sender of a message: while messages of the rank's leader
  // arrive, the leader represents the rank.
  void RecordSender(const std::string& from_ip);
  bool is_represented(TimePoint now) const;

  std::set<std::string> GatewayIps() const;

 private:
  membership::wire::RankNewsT MakeUpdate();
  std::set<std::string> ParentIps(TimePoint now) const;
  std::string EncodeOwnRank();
  // Returns the message for gateways: a leader's summary of its ranks, or the
  // own rank's status.
  std::string EncodeRanks();

  RankState& state;
  Leader& leader;
  std::function<void(const membership::wire::RankNewsT&)> on_own_update;
  mapswitch::SentUpdate last_update;
  uint64_t update_count = 0;
  uint64_t counter = 0;
};

}  // namespace bramleyspan::rankd
