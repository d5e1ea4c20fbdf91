// What a rank's agent tells of its rank, and to whom: the leader above it, or
// the owner of the group's map; and the gateways, if no leader does.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "LibMapSwitch/SentUpdate.h"
#include "Services/bramleyspand/Rank/Leader.h"
#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class RankTeller {
 public:
  // `on_own_news` takes the news of the owner's own rank.
  RankTeller(
      RankState& state,
      Leader& leader,
      std::function<void(const membership::wire::RankNewsT&)> on_own_news)
      : state(state), leader(leader), on_own_news(std::move(on_own_news)) {}

  // Tells the superior how the rank stands, if it is time or has changed.
  void TellSuperior();
  // Tells it in any case.
  void TellSuperiorNow();
  // The lists of the rank's experts go along soon: its map has changed.
  void TellListsSoon();

  void TellGateways();
  void TellGateway(const std::string& ip);
  // Also where a leader speaks for the rank.
  void TellOfOwnRank(const std::string& gateway_ip);

  // A leader that says anything speaks for this rank.
  void NoteSender(const std::string& from_ip);
  bool is_spoken_for(TimePoint now) const;

  std::set<std::string> GatewayIps() const;

 private:
  membership::wire::RankNewsT MakeNews();
  std::set<std::string> SuperiorIps(TimePoint now) const;
  std::string DescribeOwnRank();
  // A leader tells of its ranks, any other agent of its own.
  std::string DescribeRanks();

  RankState& state;
  Leader& leader;
  std::function<void(const membership::wire::RankNewsT&)> on_own_news;
  mapswitch::Telling telling;
  uint64_t news_count = 0;
  uint64_t counter = 0;
};

}  // namespace bramleyspan::rankd
