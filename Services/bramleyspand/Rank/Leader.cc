#include "Services/bramleyspand/Rank/Leader.h"

#include <cmath>
#include <utility>

#include "LibMapSwitch/SentUpdate.h"
#include "LibMembership/Gossip.h"
#include "Services/bramleyspand/Rank/MapOwner.h"
#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

using membership::wire::RankNewsT;

// An older update is not forwarded: the owner takes every status in a bundle as
// fresh.
constexpr Duration kLongestUpdateAge = std::chrono::milliseconds(130);
constexpr Duration kExpiredAfter = std::chrono::seconds(2);
// If nothing changes.
constexpr Duration kLongestBundleInterval = std::chrono::milliseconds(80);
// Ranks change at the same time: their updates are sent in one bundle.
constexpr Duration kBatchTime = std::chrono::milliseconds(3);
// Addresses seldom change.
constexpr uint64_t kBundlesPerAddress = 8;

std::unique_ptr<RankNewsT> Abridge(const RankNewsT& update, bool has_address) {
  auto abridged = std::make_unique<RankNewsT>(update);
  abridged->status->group.clear();
  abridged->status->size = 0;
  if (!has_address) {
    abridged->status->address.clear();
  }
  abridged->counts.clear();
  abridged->count_unit = 0;
  abridged->counts_epoch = 0;
  abridged->counts_step = 0;
  return abridged;
}

}  // namespace

bool Leader::is_leading() const {
  return this->state.own &&
         mapswitch::is_leader(this->state.tree(), this->state.own->rank);
}

bool Leader::HandleUpdate(const std::string& from_ip, RankNewsT update) {
  if (!this->is_leading() || update.status == nullptr) {
    return false;
  }
  const mapswitch::RankStatus& own = *this->state.own;
  const uint32_t rank = update.status->rank;
  const bool is_represented_here =
      update.status->group == own.group && update.status->size == own.size &&
      rank < own.size &&
      (rank == own.rank ||
       mapswitch::ParentOf(this->state.tree(), rank) == own.rank);
  if (!is_represented_here) {
    return false;
  }
  const TimePoint now = EventLoop::Now();
  const mapswitch::RankStatus status = FromWire(*update.status);
  RecordUpdate(this->infos[rank], from_ip, update);
  this->AddCounts(update, now);
  RepresentedRank& known = this->represented[rank];
  const bool is_new = known.received_at == TimePoint{};
  // The owner also waits for the report that a map has arrived.
  const bool is_state_change =
      mapswitch::is_state_change(status, known.status) ||
      update.wish_version != known.update.wish_version;
  this->has_gateway_update = this->has_gateway_update || is_new ||
                             status.is_open != known.status.is_open ||
                             status.epoch != known.status.epoch;
  // Lists are kept for the next bundle.
  if (update.lengths.empty() && !is_new) {
    update.lengths = std::move(known.update.lengths);
    update.experts = std::move(known.update.experts);
  }
  known = {.update = std::move(update), .received_at = now, .status = status};
  if (is_state_change) {
    this->ScheduleBundle();
  }
  return true;
}

void Leader::AddCounts(const RankNewsT& update, TimePoint now) {
  if (update.counts.empty() || !this->state.shape) {
    return;
  }
  const std::vector<uint32_t> counts = placement::UnpackCounts(
      {.counts = update.counts, .unit = update.count_unit});
  this->QueueSum(
      placement::AddChoices(this->choices,
                            {.rank = update.status->rank,
                             .epoch = update.counts_epoch,
                             .step = update.counts_step,
                             .counts = counts},
                            {.ranks = this->state.own->size,
                             .sets = this->state.shape->sets,
                             .experts = this->state.shape->experts,
                             .reporters = mapswitch::CountRepresented(
                                 this->state.tree(), this->state.own->rank)},
                            now));
}

void Leader::QueueSum(const std::optional<placement::Choices>& sum) {
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
  this->ScheduleBundle();
}

void Leader::ScheduleBundle() {
  if (std::exchange(this->is_bundle_scheduled, true)) {
    return;
  }
  this->state.loop.RunAfter(kBatchTime, [this] {
    this->is_bundle_scheduled = false;
    this->SendBundle(EventLoop::Now());
  });
}

void Leader::SendBundle(TimePoint now) {
  const std::string owner = this->state.FindParentIp(0);
  if (!this->is_leading() || owner.empty()) {
    return;
  }
  this->sent_at = now;
  membership::wire::NewsBundleT bundle;
  bundle.group = this->state.own->group;
  bundle.size = this->state.own->size;
  const bool has_addresses = this->bundles++ % kBundlesPerAddress == 0;
  for (auto& [rank, known] : this->represented) {
    if (now - known.received_at <= kLongestUpdateAge) {
      bundle.news.push_back(Abridge(known.update, has_addresses));
      known.update.lengths.clear();
      known.update.experts.clear();
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

void Leader::ForwardDesiredMap(TimePoint now) {
  if (this->is_leading() && this->state.desired_map) {
    this->desired_map_sender.SendTo(*this->state.desired_map, this->infos,
                                    this->state.servers_to_forward, now);
    this->state.servers_to_forward.clear();
  }
}

void Leader::Tick(TimePoint now) {
  if (!this->is_leading()) {
    this->represented.clear();
    this->infos.clear();
    return;
  }
  std::erase_if(this->represented, [this, now](const auto& item) {
    const bool is_expired = now - item.second.received_at > kExpiredAfter;
    if (is_expired) {
      this->infos.erase(item.first);
    }
    return is_expired;
  });
  this->QueueSum(placement::EmitIfOverdue(this->choices, now));
  if (now - this->sent_at > kLongestBundleInterval) {
    this->SendBundle(now);
  }
  if (now - this->heartbeat_at > kHeartbeatInterval) {
    this->heartbeat_at = now;
    this->SendHeartbeats(now);
  }
}

// Sends followers the agents further up and the gateways, a gateway per
// heartbeat: they have no other source for these.
void Leader::SendHeartbeats(TimePoint now) {
  membership::wire::HeartbeatT heartbeat;
  for (const auto* member : membership::GatewaysForAgent(
           this->state.members, ++this->heartbeats, 1, now)) {
    heartbeat.members.push_back(
        std::make_unique<membership::wire::MemberT>(*member));
  }
  for (const auto& [rank, parent] : this->state.parents) {
    auto place = std::make_unique<membership::wire::RankPlaceT>();
    place->group = this->state.own->group;
    place->epoch = parent.epoch;
    place->rank = rank;
    place->ip = parent.ip;
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
  for (const auto& [rank, known] : this->represented) {
    const RankInfo& info = this->infos.at(rank);
    if (now - known.received_at < kStale && info.epoch == summary.epoch) {
      summary.rows.push_back(ToRow(known.status, info.server, info.ip));
    }
  }
  return summary;
}

bool Leader::ConsumeGatewayUpdate() {
  return std::exchange(this->has_gateway_update, false);
}

}  // namespace bramleyspan::rankd
