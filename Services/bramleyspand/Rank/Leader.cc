#include "Services/bramleyspand/Rank/Leader.h"

#include <cmath>
#include <utility>

#include "LibMapSwitch/Telling.h"
#include "LibMembership/Gossip.h"
#include "Services/bramleyspand/Rank/MapOwner.h"
#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

using membership::wire::RankNewsT;

// What is not heard again for so long is not passed on: the owner takes what a
// bundle holds for fresh.
constexpr Duration kFresh = std::chrono::milliseconds(130);
constexpr Duration kForgotten = std::chrono::seconds(2);
// Where nothing changes.
constexpr Duration kLongestSilence = std::chrono::milliseconds(80);
// Ranks change together: their news go up together.
constexpr Duration kGatherTime = std::chrono::milliseconds(3);
// Addresses change seldom.
constexpr uint64_t kBundlesPerAddress = 8;

std::unique_ptr<RankNewsT> InShort(const RankNewsT& news, bool has_address) {
  auto in_short = std::make_unique<RankNewsT>(news);
  in_short->status->group.clear();
  in_short->status->size = 0;
  if (!has_address) {
    in_short->status->address.clear();
  }
  in_short->counts.clear();
  in_short->count_unit = 0;
  in_short->counts_epoch = 0;
  in_short->counts_step = 0;
  return in_short;
}

}  // namespace

bool Leader::is_leading() const {
  return this->state.own &&
         mapswitch::is_leader(this->state.tree(), this->state.own->rank);
}

bool Leader::HandleNews(const std::string& from_ip, RankNewsT news) {
  if (!this->is_leading() || news.status == nullptr) {
    return false;
  }
  const mapswitch::RankStatus& own = *this->state.own;
  const uint32_t rank = news.status->rank;
  const bool is_led =
      news.status->group == own.group && news.status->size == own.size &&
      rank < own.size &&
      (rank == own.rank ||
       mapswitch::SuperiorOf(this->state.tree(), rank) == own.rank);
  if (!is_led) {
    return false;
  }
  const TimePoint now = EventLoop::Now();
  const mapswitch::RankStatus status = FromWire(*news.status);
  Note(this->infos[rank], from_ip, news);
  this->AddCounts(news, now);
  LedRank& known = this->led[rank];
  const bool is_new = known.heard == TimePoint{};
  // That a map has come is waited for, too.
  const bool is_change = mapswitch::is_change(status, known.status) ||
                         news.wish_version != known.news.wish_version;
  this->has_news_for_gateways = this->has_news_for_gateways || is_new ||
                                status.is_open != known.status.is_open ||
                                status.epoch != known.status.epoch;
  // Lists wait for the next bundle.
  if (news.lengths.empty() && !is_new) {
    news.lengths = std::move(known.news.lengths);
    news.experts = std::move(known.news.experts);
  }
  known = {.news = std::move(news), .heard = now, .status = status};
  if (is_change) {
    this->TellSoon();
  }
  return true;
}

void Leader::AddCounts(const RankNewsT& news, TimePoint now) {
  if (news.counts.empty() || !this->state.shape) {
    return;
  }
  const std::vector<uint32_t> counts =
      placement::UnpackCounts({.counts = news.counts, .unit = news.count_unit});
  this->TakeSum(placement::AddChoices(
      this->choices,
      {.rank = news.status->rank,
       .epoch = news.counts_epoch,
       .step = news.counts_step,
       .counts = counts},
      {.ranks = this->state.own->size,
       .sets = this->state.shape->sets,
       .experts = this->state.shape->experts,
       .tellers =
           mapswitch::CountLed(this->state.tree(), this->state.own->rank)},
      now));
}

void Leader::TakeSum(const std::optional<placement::Choices>& sum) {
  if (!sum) {
    return;
  }
  this->sum.clear();
  for (const auto& set : *sum) {
    for (const double count : set) {
      this->sum.push_back(static_cast<uint32_t>(std::lround(count)));
    }
  }
  this->sum_epoch = this->choices.epoch;
  this->sum_step = this->choices.step;
  this->TellSoon();
}

void Leader::TellSoon() {
  if (std::exchange(this->is_telling_soon, true)) {
    return;
  }
  this->state.loop.RunAfter(kGatherTime, [this] {
    this->is_telling_soon = false;
    this->Tell(EventLoop::Now());
  });
}

void Leader::Tell(TimePoint now) {
  const std::string owner = this->state.FindSuperior(0);
  if (!this->is_leading() || owner.empty()) {
    return;
  }
  this->told_at = now;
  membership::wire::NewsBundleT bundle;
  bundle.group = this->state.own->group;
  bundle.size = this->state.own->size;
  const bool has_addresses = this->bundles++ % kBundlesPerAddress == 0;
  for (auto& [rank, known] : this->led) {
    if (now - known.heard <= kFresh) {
      bundle.news.push_back(InShort(known.news, has_addresses));
      known.news.lengths.clear();
      known.news.experts.clear();
    }
  }
  if (!this->sum.empty()) {
    auto packed = placement::PackCounts(std::exchange(this->sum, {}));
    bundle.counts = std::move(packed.counts);
    bundle.count_unit = packed.unit;
    bundle.counts_epoch = this->sum_epoch;
    bundle.counts_step = this->sum_step;
  }
  this->state.datagrams->Send(owner, membership::Encode(std::move(bundle)));
}

void Leader::PassWish(TimePoint now) {
  if (this->is_leading() && this->state.wish) {
    this->wishes.Pass(*this->state.wish, this->infos, this->state.servers_heard,
                      now);
    this->state.servers_heard.clear();
  }
}

void Leader::Tick(TimePoint now) {
  if (!this->is_leading()) {
    this->led.clear();
    this->infos.clear();
    return;
  }
  std::erase_if(this->led, [this, now](const auto& item) {
    const bool is_gone = now - item.second.heard > kForgotten;
    if (is_gone) {
      this->infos.erase(item.first);
    }
    return is_gone;
  });
  this->TakeSum(placement::TakeOverdue(this->choices, now));
  if (now - this->told_at > kLongestSilence) {
    this->Tell(now);
  }
  if (now - this->heartbeat_at > kHeartbeatInterval) {
    this->heartbeat_at = now;
    this->SendHeartbeats(now);
  }
}

// Who is above, and the gateways one after the other: nobody else tells the
// agents of these ranks.
void Leader::SendHeartbeats(TimePoint now) {
  membership::wire::HeartbeatT heartbeat;
  for (const auto* member : membership::GatewaysForAgent(
           this->state.members, ++this->heartbeats, 1, now)) {
    heartbeat.members.push_back(
        std::make_unique<membership::wire::MemberT>(*member));
  }
  for (const auto& [rank, superior] : this->state.superiors) {
    auto place = std::make_unique<membership::wire::RankPlaceT>();
    place->group = this->state.own->group;
    place->epoch = superior.epoch;
    place->rank = rank;
    place->ip = superior.ip;
    heartbeat.ranks.push_back(std::move(place));
  }
  const std::string bytes = membership::Encode(std::move(heartbeat));
  for (const auto& [rank, info] : this->infos) {
    if (rank != this->state.own->rank) {
      this->state.datagrams->Send(info.ip, bytes);
    }
  }
}

membership::wire::GroupSummaryT Leader::Summarize(TimePoint now) const {
  constexpr Duration kStale = std::chrono::seconds(1);
  membership::wire::GroupSummaryT summary;
  summary.group = this->state.own->group;
  summary.epoch = this->state.own->epoch;
  summary.size = this->state.own->size;
  for (const auto& [rank, known] : this->led) {
    const RankInfo& info = this->infos.at(rank);
    if (now - known.heard < kStale && info.epoch == summary.epoch) {
      summary.rows.push_back(ToRow(known.status, info.server, info.ip));
    }
  }
  return summary;
}

bool Leader::TakeNewsForGateways() {
  return std::exchange(this->has_news_for_gateways, false);
}

}  // namespace bramleyspan::rankd
