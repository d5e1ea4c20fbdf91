#include "Services/bramleyspand/Gateway/Peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibHTTP/DirectCall.h"
#include "LibMembership/Gossip.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Feeds.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/Placing.h"

namespace bramleyspan::gatewayd {

namespace {

using membership::wire::MemberT;
using nlohmann::json;
using telemetry::Log;
using telemetry::LogLevel;

// How long a gateway that is behind a peer gives the store to tell it itself.
constexpr Duration kFetchInterval = std::chrono::milliseconds(150);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(700);
constexpr size_t kMostOpenCounts = 64;
constexpr uint64_t kTurnsPerAgentHeartbeat = 5;

}  // namespace

Result<void> Peers::Start() {
  const Settings& settings = this->state.settings;
  this->datagrams = TRY(PeerDatagrams::Bind(
      this->state.loop, {settings.ip, this->state.fleet().peer_port},
      [this](const std::string& from_ip,
             const membership::wire::MessageT& message) {
        this->HandleMessage(from_ip, message);
      }));
  this->Tick();
  this->records.Start();
  return Succeed();
}

void Peers::Tick() {
  const TimePoint now = EventLoop::Now();
  membership::RemoveExpired(this->state.members, now);
  AdjustWatching(this->state, now);
  // The settings name their seeds for good, whether they are up or not.
  for (const std::string& ip : this->state.fleet().seeds) {
    if (ip != this->state.settings.ip) {
      membership::AddSeedAddress(this->state.members, ip, now);
    }
  }
  this->Tell();
  this->UpdateLoads();
  ServeWaiting(this->state);
  this->state.loop.RunAfter(membership::kHeartbeatInterval,
                            [this] { this->Tick(); });
}

void Peers::Send(const std::string& ip, const std::string& bytes) {
  this->datagrams->Send(ip, bytes);
}

void Peers::TellNow() {
  this->Tell();
}

void Peers::Tell() {
  const TimePoint now = EventLoop::Now();
  const MemberT self = this->DescribeSelf();
  membership::wire::HeartbeatT heartbeat;
  heartbeat.members.push_back(std::make_unique<MemberT>(self));
  for (const MemberT* member :
       membership::RecordsToSend(this->state.members, now)) {
    heartbeat.members.push_back(std::make_unique<MemberT>(*member));
  }
  heartbeat.signs = membership::DigestsToSend(this->state.members, now);
  const std::string bytes = membership::Encode(std::move(heartbeat));
  for (const std::string& ip :
       membership::PeersForHeartbeat(this->state.members, this->turn)) {
    this->datagrams->Send(ip, bytes);
  }
  if (this->turn % kTurnsPerAgentHeartbeat == 0) {
    this->agents.TellAll(self);
  }
  ++this->turn;
}

MemberT Peers::DescribeSelf() {
  const GatewayState& now = this->state;
  MemberT self;
  self.name = now.settings.name;
  self.is_entry = true;
  self.zone = now.settings.zone;
  self.ip = now.settings.ip;
  self.incarnation = now.incarnation;
  self.is_ready = now.table != nullptr;
  self.is_leaving = now.is_draining;
  self.caller_address = Format(*now.fleet().callers);
  self.table_version = now.table == nullptr ? 0 : now.table->version;
  self.targets_revision = now.targets_feed->newest_revision();
  self.is_hungry = !now.waiting.empty();
  self.hears_store =
      now.table_feed->is_reachable() && now.targets_feed->is_reachable();
  for (const auto& [id, view] : now.targets.by_id) {
    // An agent that answers probes knows its rank's load better than these
    // counts, which would fill a heartbeat at every gateway.
    const bool has_agent = view.rank && EventLoop::Now() - view.rank->received_at <
                                            membership::kSuspectAfter;
    if (view.open == 0 || has_agent || self.open.size() >= kMostOpenCounts) {
      continue;
    }
    auto count = std::make_unique<membership::wire::OpenCountT>();
    count->target = id;
    count->open = static_cast<uint16_t>(view.open);
    self.open.push_back(std::move(count));
  }
  membership::AdvanceOwnRecord(this->state.members, self);
  return self;
}

void Peers::HandleMessage(const std::string& from_ip,
                          const membership::wire::MessageT& message) {
  const auto& body = message.body;
  if (const auto* offer = body.AsPlaceOffer()) {
    this->state.placing->HandleOffer(*offer);
    return;
  }
  if (const auto* summary = body.AsGroupSummary()) {
    if (this->agents.HandleSummary(from_ip, *summary)) {
      this->agents.TellOne(this->DescribeSelf(), from_ip);
    }
    return;
  }
  if (const auto* query = body.AsMemberQuery()) {
    this->HandleQuery(from_ip, *query);
    return;
  }
  if (const auto* heartbeat = body.AsHeartbeat()) {
    this->HandleHeartbeat(from_ip, *heartbeat);
  }
}

void Peers::HandleHeartbeat(const std::string& from_ip,
                            const membership::wire::HeartbeatT& heartbeat) {
  for (const auto& member : heartbeat.members) {
    if (member != nullptr) {
      this->HandleMember(*member, member->ip == from_ip);
    }
  }
  membership::wire::MemberQueryT query;
  query.keys = membership::ApplyDigests(this->state.members, heartbeat.signs,
                                     EventLoop::Now());
  if (!query.keys.empty()) {
    this->Send(from_ip, membership::Encode(std::move(query)));
  }
}

void Peers::HandleQuery(const std::string& from_ip,
                        const membership::wire::MemberQueryT& query) {
  membership::wire::HeartbeatT answer;
  for (const MemberT* member :
       membership::FindByKeys(this->state.members, query.keys)) {
    answer.members.push_back(std::make_unique<MemberT>(*member));
  }
  if (!answer.members.empty()) {
    this->Send(from_ip, membership::Encode(std::move(answer)));
  }
}

void Peers::HandleMember(const MemberT& member, bool is_direct) {
  const TimePoint now = EventLoop::Now();
  const auto found = this->state.members.known.find(member.name);
  const bool was_alive = found != this->state.members.known.end() &&
                         membership::is_alive(found->second, now);
  const bool is_restarted =
      found != this->state.members.known.end() &&
      found->second.member.incarnation != member.incarnation;
  if (!membership::Merge(this->state.members, member, is_direct, now)) {
    return;
  }
  if (!was_alive || is_restarted) {
    Log(LogLevel::kInfo, "members", "member_heard",
        {{"member", member.name},
         {"ip", member.ip},
         {"incarnation", std::to_string(member.incarnation)}});
  }
  if (member.is_entry && is_direct) {
    this->FetchIfBehind(member);
    return;
  }
  if (member.is_entry || !is_direct) {
    return;
  }
  this->agents.HandleHeartbeat(member);
  if (!was_alive || is_restarted) {
    // An agent that has just started knows neither gateways nor owners.
    this->agents.TellOne(this->DescribeSelf(), member.ip);
  }
}

// Adds up what the others have at each target, and takes what the agents say.
void Peers::UpdateLoads() {
  const TimePoint now = EventLoop::Now();
  for (auto& [id, view] : this->state.targets.by_id) {
    view.open_elsewhere = 0;
  }
  this->agents.UpdateTargets(now);
  for (const auto& [name, known] : this->state.members.known) {
    if (!membership::is_alive(known, now)) {
      continue;
    }
    for (const auto& count : known.member.open) {
      const auto found = this->state.targets.by_id.find(count->target);
      if (found != this->state.targets.by_id.end()) {
        found->second.open_elsewhere += count->open;
      }
    }
  }
}

// The store may turn this machine away, or its watch may have fallen silent,
// while a peer knows more.
void Peers::FetchIfBehind(const MemberT& member) {
  const GatewayState& now_state = this->state;
  const uint64_t own_version =
      now_state.table == nullptr ? 0 : now_state.table->version;
  const bool is_behind =
      member.table_version > own_version ||
      member.targets_revision > now_state.targets_feed->newest_revision();
  const TimePoint now = EventLoop::Now();
  if (!is_behind || this->is_fetching ||
      now - this->last_fetch < kFetchInterval) {
    return;
  }
  this->is_fetching = true;
  this->last_fetch = now;
  const std::string query =
      "/v1/news?table=" + std::to_string(own_version) +
      "&targets=" + std::to_string(now_state.targets_feed->updates_from());
  http::DirectCall::Fetch(
      this->state.loop,
      {.target = {member.ip, this->state.fleet().peer_port},
       .path = query,
       .headers = {{"host", member.ip}},
       .timeout = kFetchTimeout},
      [this, name = member.name](http::CallEnd end,
                                 const http::Response& response) {
        this->is_fetching = false;
        if (end == http::CallEnd::kWhole && response.status == 200) {
          Log(LogLevel::kInfo, "members", "news_fetched", {{"from", name}});
          this->HandleNews(response.body);
        }
      });
}

std::string Peers::SerializeNews(uint64_t table_version,
                                 uint64_t targets_revision) const {
  json news = {
      {"targets", json::array()},
      {"targets_complete_to", this->state.targets_feed->complete_to()}};
  for (const auto& [key, item] : this->state.targets_feed->items()) {
    if (item.revision > targets_revision) {
      news["targets"].push_back(
          {{"key", key},
           {"value", json::binary({item.value.begin(), item.value.end()})},
           {"revision", item.revision},
           {"is_removed", item.is_removed}});
    }
  }
  const uint64_t own_version =
      this->state.table == nullptr ? 0 : this->state.table->version;
  if (own_version > table_version) {
    const auto& items = this->state.table_feed->items();
    const auto found = items.find(this->state.adapter.table_key);
    if (found != items.end()) {
      news["table"] = json::binary(
          {found->second.value.begin(), found->second.value.end()});
      news["table_revision"] = found->second.revision;
    }
  }
  const std::vector<uint8_t> bytes = json::to_msgpack(news);
  return {bytes.begin(), bytes.end()};
}

void Peers::HandleNews(const std::string& text) {
  const json news = json::from_msgpack(text, true, false);
  if (news.is_discarded() || !news.is_object()) {
    return;
  }
  try {
    this->TakeNews(news);
  } catch (const json::exception& failure) {
    // Whatever answers at a peer's address may be another program by now.
    Log(LogLevel::kError, "members", "news_unreadable",
        {{"error", failure.what()}});
  }
}

void Peers::TakeNews(const json& news) {
  std::vector<platform::StoreItem> items;
  for (const json& source : news.value("targets", json::array())) {
    const auto& value = source.at("value").get_binary();
    items.push_back({.key = source.at("key").get<std::string>(),
                     .value = {value.begin(), value.end()},
                     .revision = source.at("revision").get<uint64_t>(),
                     .is_removed = source.at("is_removed").get<bool>()});
  }
  this->state.targets_feed->Merge(
      items, news.value("targets_complete_to", uint64_t{0}));
  if (news.contains("table")) {
    const auto& value = news["table"].get_binary();
    this->state.table_feed->Merge(
        {{.key = this->state.adapter.table_key,
          .value = {value.begin(), value.end()},
          .revision = news.value("table_revision", uint64_t{0})}},
        /*complete_to=*/0);
  }
}

}  // namespace bramleyspan::gatewayd
