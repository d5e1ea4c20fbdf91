// The part of a rank's agent that stands between the owner of a large group's
// map and a few ranks: it tells the owner and the gateways how they stand, sums
// up what they chose, and passes on what the owner wants.
//
// Failure: a leader's machine freezes or is cut off. Its ranks miss its
// heartbeats within a third of a second and tell the owner and the gateways
// themselves; the owner answers by the way it heard of a rank last.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Services/bramleyspand/Rank/DesiredMaps.h"

namespace bramleyspan::rankd {

class Leader {
 public:
  Leader(RankState& state, WishTeller& wishes) : state(state), wishes(wishes) {}

  bool is_leading() const;

  // Takes what an agent below, or this one, tells. Returns whether it is one
  // that this leader speaks for.
  bool HandleNews(const std::string& from_ip, membership::wire::RankNewsT news);

  // Passes on the wish that was just taken.
  void PassWish(TimePoint now);

  // Says that it lives, and what is due to the owner.
  void Tick(TimePoint now);

  // What gateways are told of the ranks below and this one.
  membership::wire::GroupSummaryT Summarize(TimePoint now) const;
  // Whether one of them has opened, closed or come since the last call.
  bool TakeNewsForGateways();

  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(90);

 private:
  struct LedRank {
    membership::wire::RankNewsT news;
    TimePoint heard;
    mapswitch::RankStatus status;
  };

  void AddCounts(const membership::wire::RankNewsT& news, TimePoint now);
  void TakeSum(const std::optional<placement::Choices>& sum);
  void TellSoon();
  void Tell(TimePoint now);
  void SendHeartbeats(TimePoint now);

  RankState& state;
  WishTeller& wishes;
  std::map<uint32_t, LedRank> led;
  // What is known of their agents.
  std::map<uint32_t, RankInfo> infos;
  placement::PassChoices choices;
  // The sum to tell next, and the pass that it is of.
  std::vector<uint32_t> sum;
  uint64_t sum_epoch = 0;
  uint64_t sum_step = 0;
  TimePoint told_at;
  TimePoint heartbeat_at;
  uint64_t bundles = 0;
  uint64_t heartbeats = 0;
  bool is_telling_soon = false;
  bool has_news_for_gateways = false;
};

}  // namespace bramleyspan::rankd
