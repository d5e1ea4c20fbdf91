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

// Each gateway speaks for itself; another one's word helps where its own way
// to an agent is cut.
constexpr size_t kGatewaysToldToAgents = 1;

std::string FormatIp(uint32_t number) {
  const in_addr address{htonl(number)};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return text.data();
}

// What an agent needs of a gateway: who and where it is. Agents' links are
// small.
std::unique_ptr<MemberT> ForAgents(const MemberT& member) {
  auto in_short = std::make_unique<MemberT>();
  in_short->name = member.name;
  in_short->is_entry = member.is_entry;
  in_short->ip = member.ip;
  in_short->incarnation = member.incarnation;
  in_short->counter = member.counter;
  return in_short;
}

}  // namespace

void RankAgents::HandleHeartbeat(const MemberT& member) {
  const TimePoint now = EventLoop::Now();
  this->received_at[member.ip] = now;
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
  const auto known = this->received_at.find(from_ip);
  const bool is_new = known == this->received_at.end() ||
                      now - known->second > membership::kSuspectAfter;
  this->received_at[from_ip] = now;
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
  std::erase_if(this->received_at, [now](const auto& item) {
    return now - item.second > membership::kRemoveAfter;
  });
  for (auto& [id, view] : this->state.targets.by_id) {
    if (view.is_replaced) {
      continue;
    }
    const auto told = this->ranks.find(Format(view.target.address));
    if (told != this->ranks.end() &&
        (!view.rank || told->second.received_at > view.rank->received_at)) {
      view.rank = told->second;
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

std::string RankAgents::Describe(const MemberT& self,
                                 const std::string& ip,
                                 const std::map<std::string, Ranks>& groups,
                                 bool is_asking) {
  membership::wire::HeartbeatT heartbeat;
  heartbeat.is_asking = is_asking;
  heartbeat.members.push_back(ForAgents(self));
  for (const MemberT* member :
       membership::GatewaysForAgent(this->state.members, this->turn,
                                 kGatewaysToldToAgents, EventLoop::Now())) {
    heartbeat.members.push_back(ForAgents(*member));
  }
  for (const auto& [group, ranks] : groups) {
    for (const auto& [rank, view] : ranks) {
      if (view->agent_ip != ip) {
        continue;
      }
      const mapswitch::Tree tree{.size = view->size,
                                 .fan_out = this->state.fleet().group_fan_out};
      for (const uint32_t above :
           std::set<uint32_t>{0, mapswitch::SuperiorOf(tree, rank)}) {
        const auto found = ranks.find(above);
        if (found == ranks.end()) {
          continue;
        }
        auto place = std::make_unique<membership::wire::RankPlaceT>();
        place->group = group;
        place->epoch = found->second->epoch;
        place->rank = above;
        place->ip = found->second->agent_ip;
        heartbeat.ranks.push_back(std::move(place));
      }
    }
  }
  return membership::Encode(std::move(heartbeat));
}

// Agents that were not heard of yet are beside their targets. After a loss of
// power nobody knows anybody, and callers press: waiting until an agent had
// heard of this gateway from one that its settings name took a second.
std::set<std::string> RankAgents::SilentAgents(TimePoint now) const {
  std::set<std::string> ips;
  if (this->state.table == nullptr) {
    return ips;
  }
  for (const auto& [id, view] : this->state.targets.by_id) {
    const auto service = this->state.table->services.find(view.target.service);
    const bool has_agent = service != this->state.table->services.end() &&
                           service->second.engine && !view.is_replaced;
    const bool is_silent =
        !view.rank || now - view.rank->received_at > membership::kSuspectAfter;
    if (has_agent && is_silent) {
      ips.insert(gateway::AgentIpOf(view));
    }
  }
  return ips;
}

void RankAgents::TellAll(const MemberT& self) {
  ++this->turn;
  const TimePoint now = EventLoop::Now();
  const auto groups = this->RanksByGroup();
  const std::set<std::string> silent = this->SilentAgents(now);
  for (const std::string& ip : silent) {
    this->send(ip, this->Describe(self, ip, groups, /*is_asking=*/true));
  }
  for (const auto& [ip, at] : this->received_at) {
    if (!silent.contains(ip)) {
      this->send(ip, this->Describe(self, ip, groups, /*is_asking=*/false));
    }
  }
}

void RankAgents::TellOne(const MemberT& self, const std::string& ip) {
  this->send(ip, this->Describe(self, ip, this->RanksByGroup(),
                                /*is_asking=*/false));
}

}  // namespace bramleyspan::gatewayd
