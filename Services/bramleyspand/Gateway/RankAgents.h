// What a gateway hears of ranks and tells their agents: the gateways, and who
// is above them in their group. It tells those that tell it, and asks those of
// whose ranks nobody tells.
//
// Failure: a leader is cut off from this gateway, and a tenth of a group seems
// gone. Agents are asked one by one after a while, and answer for themselves.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "LibMapSwitch/Tree.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class RankAgents {
 public:
  using Send =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  RankAgents(GatewayState& state, Send send)
      : state(state), send(std::move(send)) {}

  // An agent tells of its own rank.
  void HandleHeartbeat(const membership::wire::MemberT& member);

  // A leader tells of its ranks. Returns whether it is heard for the first time
  // in a while.
  bool HandleSummary(const std::string& from_ip,
                     const membership::wire::GroupSummaryT& summary);

  void TellAll(const membership::wire::MemberT& self);
  void TellOne(const membership::wire::MemberT& self, const std::string& ip);

  // What is known of the ranks, into the targets.
  void UpdateTargets(TimePoint now);

 private:
  using Ranks = std::map<uint32_t, const gateway::RankView*>;

  std::map<std::string, Ranks> RanksByGroup() const;
  std::string Describe(const membership::wire::MemberT& self,
                       const std::string& ip,
                       const std::map<std::string, Ranks>& groups,
                       bool is_asking);
  // Agents beside targets of whose ranks nothing is heard.
  std::set<std::string> SilentAgents(TimePoint now) const;

  GatewayState& state;
  Send send;
  // By the address of the rank's server.
  std::map<std::string, gateway::RankView> ranks;
  // Agents that tell this gateway themselves, and when they last did.
  std::map<std::string, TimePoint> received_at;
  uint64_t turn = 0;
};

}  // namespace bramleyspan::gatewayd
