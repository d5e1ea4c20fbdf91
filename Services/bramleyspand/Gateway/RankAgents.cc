#include "Services/bramleyspand/Gateway/RankAgents.h"

#include <arpa/inet.h>

#include <array>
#include <memory>
#include <utility>

#include "LibGateway/Offers.h"
#include "LibMembership/Gossip.h"

namespace bramleyspan::gatewayd {

namespace {

using membership::wire::MemberT;

// Records of other gateways per heartbeat. Each gateway sends its own; those of
// others help if their own path to an agent is cut.
constexpr size_t kOtherGatewaysPerHeartbeat = 1;
// Heartbeats to an agent stop when it has sent nothing for this long, several
// of its own heartbeats: a leader represents it then, which passes this
// gateway's address on. Agents whose ranks are not reported at all still get
// heartbeats.
constexpr Duration kDirectAgentLifetime = std::chrono::seconds(3);

std::string FormatIp(uint32_t number) {
  const in_addr address{htonl(number)};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return text.data();
}

// Copies the fields of a gateway's record that an agent needs: its name and
// address. The links of agents have little bandwidth.
std::unique_ptr<MemberT> TrimForAgents(const MemberT& member) {
  auto trimmed = std::make_unique<MemberT>();
  trimmed->name = member.name;
  trimmed->is_entry = member.is_entry;
  trimmed->ip = member.ip;
  trimmed->incarnation = member.incarnation;
  trimmed->counter = member.counter;
  return trimmed;
}

}  // namespace

void RankAgents::HandleHeartbeat(const MemberT& member) {
  const TimePoint now = EventLoop::Now();
  this->direct_agents[member.ip] = now;
  const auto* rank = member.rank.get();
  if (rank == nullptr) {
    return;
  }
  this->ranks[rank->address] = {.group = rank->group,
                                .epoch = rank->epoch,
                                .rank = rank->rank,
                                .size = rank->size,
                                .is_open = rank->is_open,
                                .pace = rank->pace,
                                .agent_ip = member.ip,
                                .received_at = now};
}

bool RankAgents::HandleSummary(const std::string& from_ip,
                               const membership::wire::GroupSummaryT& summary) {
  const TimePoint now = EventLoop::Now();
  const auto known = this->direct_agents.find(from_ip);
  const bool is_new = known == this->direct_agents.end() ||
                      now - known->second > membership::kSuspectAfter;
  this->direct_agents[from_ip] = now;
  for (const auto& row : summary.rows) {
    const Address server{FormatIp(row.server_ip()), row.server_port()};
    this->ranks[Format(server)] = {.group = summary.group,
                                   .epoch = summary.epoch,
                                   .rank = row.rank(),
                                   .size = summary.size,
                                   .is_open = row.is_open(),
                                   .pace = row.pace(),
                                   .agent_ip = FormatIp(row.agent_ip()),
                                   .received_at = now};
  }
  return is_new;
}

void RankAgents::UpdateTargets(TimePoint now) {
  std::erase_if(this->ranks, [now](const auto& item) {
    return now - item.second.received_at > membership::kRemoveAfter;
  });
  std::erase_if(this->direct_agents, [now](const auto& item) {
    return now - item.second > kDirectAgentLifetime;
  });
  for (auto& [id, view] : this->state.targets.by_id) {
    if (view.is_replaced) {
      continue;
    }
    const auto reported = this->ranks.find(Format(view.target.address));
    if (reported != this->ranks.end() &&
        (!view.rank || reported->second.received_at > view.rank->received_at)) {
      view.rank = reported->second;
    }
    if (view.rank && now - view.rank->received_at > membership::kSuspectAfter) {
      view.rank->is_open = true;
    }
  }
}

std::map<std::string, RankAgents::Ranks> RankAgents::RanksByGroup() const {
  std::map<std::string, Ranks> groups;
  for (const auto& [address, view] : this->ranks) {
    const gateway::RankView*& known = groups[view.group][view.rank];
    const bool is_newer =
        known == nullptr || known->epoch < view.epoch ||
        (known->epoch == view.epoch && known->received_at < view.received_at);
    if (is_newer) {
      known = &view;
    }
  }
  return groups;
}

std::string RankAgents::EncodeHeartbeat(
    const MemberT& self,
    const std::string& ip,
    const std::map<std::string, Ranks>& groups,
    bool is_asking) {
  membership::wire::HeartbeatT heartbeat;
  heartbeat.is_asking = is_asking;
  heartbeat.members.push_back(TrimForAgents(self));
  for (const MemberT* member : membership::GatewaysForAgent(
           this->state.members, this->round, kOtherGatewaysPerHeartbeat,
           EventLoop::Now())) {
    heartbeat.members.push_back(TrimForAgents(*member));
  }
  for (const auto& [group, ranks] : groups) {
    for (const auto& [rank, view] : ranks) {
      if (view->agent_ip != ip) {
        continue;
      }
      const mapswitch::Tree tree{.size = view->size,
                                 .fan_out = this->state.fleet().group_fan_out};
      for (const uint32_t ancestor :
           std::set<uint32_t>{0, mapswitch::ParentOf(tree, rank)}) {
        const auto found = ranks.find(ancestor);
        if (found == ranks.end()) {
          continue;
        }
        auto location = std::make_unique<membership::wire::RankPlaceT>();
        location->group = group;
        location->epoch = found->second->epoch;
        location->rank = ancestor;
        location->ip = found->second->agent_ip;
        heartbeat.ranks.push_back(std::move(location));
      }
    }
  }
  return membership::Encode(std::move(heartbeat));
}

// Agents that have not reported yet are included; each is taken to be on the VM
// of its target. After a power outage no process knows any other, and callers
// are waiting; without this it took a second until an agent received the
// address of this gateway from a gateway that its settings name.
std::set<std::string> RankAgents::UnresponsiveAgents(TimePoint now) const {
  std::set<std::string> ips;
  if (this->state.table == nullptr) {
    return ips;
  }
  for (const auto& [id, view] : this->state.targets.by_id) {
    const auto service = this->state.table->services.find(view.target.service);
    const bool has_agent = service != this->state.table->services.end() &&
                           service->second.engine && !view.is_replaced;
    const bool is_unresponsive =
        !view.rank || now - view.rank->received_at > membership::kSuspectAfter;
    if (has_agent && is_unresponsive) {
      ips.insert(gateway::AgentIpOf(view));
    }
  }
  return ips;
}

void RankAgents::SendToAll(const MemberT& self) {
  ++this->round;
  const TimePoint now = EventLoop::Now();
  const auto groups = this->RanksByGroup();
  const std::set<std::string> unresponsive = this->UnresponsiveAgents(now);
  for (const std::string& ip : unresponsive) {
    this->send(ip, this->EncodeHeartbeat(self, ip, groups, /*is_asking=*/true));
  }
  for (const auto& [ip, at] : this->direct_agents) {
    if (!unresponsive.contains(ip)) {
      this->send(ip,
                 this->EncodeHeartbeat(self, ip, groups, /*is_asking=*/false));
    }
  }
}

void RankAgents::SendToAgent(const MemberT& self, const std::string& ip) {
  this->send(ip, this->EncodeHeartbeat(self, ip, this->RanksByGroup(),
                                       /*is_asking=*/false));
}

}  // namespace bramleyspan::gatewayd
