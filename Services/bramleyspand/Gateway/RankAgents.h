// Collects the state of ranks from their agents, and sends heartbeats to
// agents. A heartbeat names gateways, and the agents of rank 0 and of the
// parent in the group of the agent's rank. Heartbeats go to agents that send to
// this gateway, and to the agents of ranks that nobody reports.
//
// Failure: a leader cannot reach this gateway, and a tenth of a group seems
// gone. After a while the agents of these ranks are asked one by one and answer
// for themselves.
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

  // Handles an agent's record of its own rank.
  void HandleHeartbeat(const membership::wire::MemberT& member);

  // Handles a leader's summary of its ranks. Returns whether it is the first
  // message of this leader in a while.
  bool HandleSummary(const std::string& from_ip,
                     const membership::wire::GroupSummaryT& summary);

  void SendToAll(const membership::wire::MemberT& self);
  void SendToAgent(const membership::wire::MemberT& self,
                   const std::string& ip);

  // Copies the state of the ranks to the targets.
  void UpdateTargets(TimePoint now);

 private:
  using Ranks = std::map<uint32_t, const gateway::RankView*>;

  std::map<std::string, Ranks> RanksByGroup() const;
  std::string EncodeHeartbeat(const membership::wire::MemberT& self,
                              const std::string& ip,
                              const std::map<std::string, Ranks>& groups,
                              bool is_asking);
  // Returns the IP addresses of agents whose ranks nobody has reported for a
  // while.
  std::set<std::string> UnresponsiveAgents(TimePoint now) const;

  GatewayState& state;
  Send send;
  // By the address of the rank's server.
  std::map<std::string, gateway::RankView> ranks;
  // Agents that send to this gateway directly, with the time of their last
  // message.
  std::map<std::string, TimePoint> direct_agents;
  uint64_t round = 0;
};

}  // namespace bramleyspan::gatewayd
