// The part of a rank's agent that stands between the owner of a large group's
// map and a few ranks, its followers: it reports their status to the owner and
// the gateways, adds up their expert counts, and forwards the desired map.
//
// Failure: a leader's machine freezes or is cut off. Its followers miss its
// heartbeats within a third of a second and then send their updates to the
// owner and the gateways themselves; the owner replies to the address from
// which it last received a rank's update.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Services/bramleyspand/Rank/DesiredMaps.h"

namespace bramleyspan::rankd {

class Leader {
 public:
  Leader(RankState& state, DesiredMapSender& desired_map_sender)
      : state(state), desired_map_sender(desired_map_sender) {}

  bool is_leading() const;

  // Handles an update of a follower or of the own rank. Returns whether this
  // leader represents the rank.
  bool HandleUpdate(const std::string& from_ip,
                    membership::wire::RankNewsT update);

  // Forwards the desired map that was just received.
  void ForwardDesiredMap(TimePoint now);

  // Sends heartbeats to the followers, and bundles to the owner when they are
  // due.
  void Tick(TimePoint now);

  // Returns the summary of the represented ranks for gateways.
  membership::wire::GroupSummaryT Summarize(TimePoint now) const;
  // Returns whether a represented rank opened, closed or joined since the last
  // call.
  bool ConsumeGatewayUpdate();

  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(90);

 private:
  struct RepresentedRank {
    membership::wire::RankNewsT update;
    TimePoint received_at;
    mapswitch::RankStatus status;
  };

  void AddCounts(const membership::wire::RankNewsT& update, TimePoint now);
  void QueueSum(const std::optional<placement::Choices>& sum);
  void ScheduleBundle();
  void SendBundle(TimePoint now);
  void SendHeartbeats(TimePoint now);

  RankState& state;
  DesiredMapSender& desired_map_sender;
  std::map<uint32_t, RepresentedRank> represented;
  // What is known of their agents.
  std::map<uint32_t, RankInfo> infos;
  placement::PassChoices choices;
  // The sum of expert counts to send next, and its pass.
  std::vector<uint32_t> sum;
  uint64_t sum_epoch = 0;
  uint64_t sum_step = 0;
  TimePoint sent_at;
  TimePoint heartbeat_at;
  uint64_t bundles = 0;
  uint64_t heartbeats = 0;
  bool is_bundle_scheduled = false;
  bool has_gateway_update = false;
};

}  // namespace bramleyspan::rankd
