#include "Services/bramleyspand/Rank/RankUpdateSender.h"

#include <memory>
#include <utility>

#include "LibMembership/Members.h"
#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

// Every eighth news tells the lists of the rank's experts: the owner needs them
// once a map, and a lost datagram should not cost it more than a second.
constexpr uint64_t kNewsPerLists = 8;
// Some heartbeats of the leader above.
constexpr Duration kLeaderSilent = 7 * Leader::kHeartbeatInterval / 2;
// A report older than this says nothing of the rank.
constexpr Duration kStale = std::chrono::seconds(1);

}  // namespace

membership::wire::RankNewsT RankTeller::MakeNews() {
  membership::wire::RankNewsT news;
  news.status = std::make_unique<membership::wire::RankStatusT>(
      ToWire(*this->state.own, *this->state.fleet().engine));
  auto packed =
      placement::PackCounts(std::exchange(this->state.new_counts, {}));
  news.counts = std::move(packed.counts);
  news.count_unit = packed.unit;
  news.wish_version = this->state.wish && !this->state.wish->map.empty()
                          ? this->state.wish->version
                          : 0;
  if (this->state.last_counts) {
    news.counts_epoch = this->state.last_counts->epoch;
    news.counts_step = this->state.last_counts->step;
  }
  const HeldMap& in_force = this->state.map_in_force;
  const bool has_base = in_force.epoch == this->state.own->epoch &&
                        in_force.version == this->state.own->map;
  news.base_version = has_base ? in_force.version : 0;
  const bool is_known = this->state.own_held.version == this->state.own->map;
  if (is_known && ++this->news_count % kNewsPerLists == 0) {
    for (const auto& set : this->state.own_held.sets) {
      news.lengths.push_back(static_cast<uint16_t>(set.size()));
      news.experts.insert(news.experts.end(), set.begin(), set.end());
    }
  }
  return news;
}

void RankTeller::TellSuperior() {
  const TimePoint now = EventLoop::Now();
  const bool has_counts = !this->state.new_counts.empty();
  if (!mapswitch::is_due(this->telling, *this->state.own, has_counts, now)) {
    return;
  }
  this->TellSuperiorNow();
}

void RankTeller::TellSuperiorNow() {
  const TimePoint now = EventLoop::Now();
  this->telling = {.told = *this->state.own, .told_at = now};
  membership::wire::RankNewsT news = this->MakeNews();
  if (this->state.is_owner()) {
    this->on_own_news(news);
    return;
  }
  if (this->leader.is_leading()) {
    this->leader.HandleNews(this->state.settings.ip, std::move(news));
    return;
  }
  const std::string bytes = membership::Encode(std::move(news));
  for (const std::string& ip : this->SuperiorIps(now)) {
    this->state.datagrams->Send(ip, bytes);
  }
}

void RankTeller::TellListsSoon() {
  this->news_count = kNewsPerLists - 2;
}

// The leader above; the owner too where there is none, or none that is heard.
std::set<std::string> RankTeller::SuperiorIps(TimePoint now) const {
  std::set<std::string> ips{this->state.FindSuperior(
      mapswitch::SuperiorOf(this->state.tree(), this->state.own->rank))};
  if (!this->is_spoken_for(now)) {
    ips.insert(this->state.FindSuperior(0));
  }
  ips.erase("");
  return ips;
}

bool RankTeller::is_spoken_for(TimePoint now) const {
  return this->state.own &&
         mapswitch::SuperiorOf(this->state.tree(), this->state.own->rank) !=
             0 &&
         now - this->state.leader_heard <= kLeaderSilent;
}

void RankTeller::NoteSender(const std::string& from_ip) {
  if (!this->state.own) {
    return;
  }
  const uint32_t superior =
      mapswitch::SuperiorOf(this->state.tree(), this->state.own->rank);
  if (superior != 0 && this->state.FindSuperior(superior) == from_ip) {
    this->state.leader_heard = EventLoop::Now();
  }
}

std::string RankTeller::DescribeOwnRank() {
  membership::wire::HeartbeatT heartbeat;
  auto self = std::make_unique<membership::wire::MemberT>();
  self->name = this->state.settings.name;
  self->zone = this->state.settings.zone;
  self->ip = this->state.settings.ip;
  self->incarnation = this->state.incarnation;
  self->counter = ++this->counter;
  if (this->state.own && EventLoop::Now() - this->state.own_heard < kStale) {
    self->rank = std::make_unique<membership::wire::RankStatusT>(
        ToWireForGateways(*this->state.own, *this->state.fleet().engine));
  }
  heartbeat.members.push_back(std::move(self));
  return membership::Encode(std::move(heartbeat));
}

std::string RankTeller::DescribeRanks() {
  return this->leader.is_leading()
             ? membership::Encode(this->leader.Summarize(EventLoop::Now()))
             : this->DescribeOwnRank();
}

void RankTeller::TellGateways() {
  if (this->is_spoken_for(EventLoop::Now())) {
    return;
  }
  const std::string bytes = this->DescribeRanks();
  for (const std::string& ip : this->GatewayIps()) {
    this->state.datagrams->Send(ip, bytes);
  }
}

void RankTeller::TellGateway(const std::string& ip) {
  if (!this->is_spoken_for(EventLoop::Now())) {
    this->state.datagrams->Send(ip, this->DescribeRanks());
  }
}

void RankTeller::TellOfOwnRank(const std::string& gateway_ip) {
  this->state.datagrams->Send(gateway_ip, this->DescribeOwnRank());
}

std::set<std::string> RankTeller::GatewayIps() const {
  std::set<std::string> ips(this->state.fleet().seeds.begin(),
                            this->state.fleet().seeds.end());
  for (const auto& [name, known] : this->state.members.known) {
    if (known.member.is_entry) {
      ips.insert(known.member.ip);
    }
  }
  return ips;
}

}  // namespace bramleyspan::rankd
