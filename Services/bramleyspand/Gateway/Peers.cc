#include "Services/bramleyspand/Gateway/Peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibHTTP/DirectCall.h"
#include "LibJSON/Read.h"
#include "LibMembership/Gossip.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Feeds.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/PermitRequests.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/RateLimiter.h"
#include "Services/bramleyspand/Gateway/Repeats.h"

namespace bramleyspan::gatewayd {

namespace {

using membership::wire::MemberT;
using nlohmann::json;
using telemetry::Log;
using telemetry::LogLevel;

// Minimum time between fetches from peers. It gives the store time to deliver a
// change to a gateway that is behind a peer.
constexpr Duration kFetchInterval = std::chrono::milliseconds(150);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(700);
constexpr size_t kMaxOpenCounts = 64;
constexpr uint64_t kRoundsPerAgentHeartbeat = 5;

// Returns the keys of the feed that changed after a revision.
json SerializeItems(const platform::PrefixFeed& feed, uint64_t after) {
  json items = json::array();
  for (const auto& [key, item] : feed.items()) {
    if (item.revision > after) {
      items.push_back(
          {{"key", key},
           {"value", json::binary({item.value.begin(), item.value.end()})},
           {"revision", item.revision},
           {"is_removed", item.is_removed}});
    }
  }
  return items;
}

std::vector<platform::StoreItem> ParseItems(const json& source) {
  std::vector<platform::StoreItem> items;
  for (const json& item : source) {
    const auto& value = item.at("value").get_binary();
    items.push_back({.key = item.at("key").get<std::string>(),
                     .value = {value.begin(), value.end()},
                     .revision = item.at("revision").get<uint64_t>(),
                     .is_removed = item.at("is_removed").get<bool>()});
  }
  return items;
}

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
  AdjustWatches(this->state, now);
  // Seeds in the settings stay hints for good, whether they are running or not.
  for (const std::string& ip : this->state.fleet().seeds) {
    if (ip != this->state.settings.ip) {
      membership::AddSeedAddress(this->state.members, ip, now);
    }
  }
  this->SendHeartbeats();
  this->UpdateLoads();
  ServeWaiting(this->state);
  this->state.loop.RunAfter(membership::kHeartbeatInterval,
                            [this] { this->Tick(); });
}

void Peers::Send(const std::string& ip, const std::string& bytes) {
  this->datagrams->Send(ip, bytes);
}

void Peers::SendToGateways(const std::string& bytes) {
  for (const auto* known :
       membership::LiveGateways(this->state.members, EventLoop::Now())) {
    this->Send(known->member.ip, bytes);
  }
}

void Peers::SendHeartbeatsNow() {
  this->SendHeartbeats();
}

void Peers::SendHeartbeats() {
  const TimePoint now = EventLoop::Now();
  const MemberT self = this->DescribeSelf();
  membership::wire::HeartbeatT heartbeat;
  heartbeat.members.push_back(std::make_unique<MemberT>(self));
  for (const MemberT* member :
       membership::RecordsToSend(this->state.members, now)) {
    heartbeat.members.push_back(std::make_unique<MemberT>(*member));
  }
  heartbeat.signs = membership::DigestsToSend(this->state.members, now);
  heartbeat.rate_limits = this->state.rate_limiter->ReportsToSend();
  this->state.quarantine->AddReports(heartbeat);
  this->state.repeats->AddReport(heartbeat);
  const std::string bytes = membership::Encode(std::move(heartbeat));
  for (const std::string& ip :
       membership::PeersForHeartbeat(this->state.members, this->round)) {
    this->datagrams->Send(ip, bytes);
  }
  if (this->round % kRoundsPerAgentHeartbeat == 0) {
    this->agents.SendToAll(self);
  }
  ++this->round;
}

MemberT Peers::DescribeSelf() {
  const GatewayState& own = this->state;
  MemberT self;
  self.name = own.settings.name;
  self.is_entry = true;
  self.zone = own.settings.zone;
  self.ip = own.settings.ip;
  self.incarnation = own.incarnation;
  self.is_ready = own.table != nullptr;
  self.is_leaving = own.is_draining();
  self.caller_address = Format(*own.fleet().callers);
  self.table_version = own.table == nullptr ? 0 : own.table->version;
  self.targets_revision = own.targets_feed->newest_revision();
  self.is_hungry = !own.waiting.empty();
  self.grants_rates = true;
  self.desired_revision = this->DesiredRevision();
  self.hears_store =
      own.table_feed->is_reachable() && own.targets_feed->is_reachable();
  for (const auto& [id, view] : own.targets.by_id) {
    // The agent of a rank knows its load better than these counts, which would
    // fill the heartbeats of every gateway.
    const bool has_agent =
        view.rank &&
        EventLoop::Now() - view.rank->received_at < membership::kSuspectAfter;
    if (view.open == 0 || has_agent || self.open.size() >= kMaxOpenCounts) {
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
    this->state.permit_requests->HandleOffer(*offer);
    return;
  }
  if (const auto* summary = body.AsGroupSummary()) {
    if (this->agents.HandleSummary(from_ip, *summary)) {
      this->agents.SendToAgent(this->DescribeSelf(), from_ip);
    }
    return;
  }
  if (const auto* query = body.AsMemberQuery()) {
    this->HandleQuery(from_ip, *query);
    return;
  }
  if (const auto* request = body.AsRateRequest()) {
    this->state.rate_limiter->HandleRequest(from_ip, *request);
    return;
  }
  if (const auto* grant = body.AsRateGrant()) {
    this->state.rate_limiter->HandleGrant(*grant);
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
  for (const auto& report : heartbeat.rate_limits) {
    if (report != nullptr) {
      this->state.rate_limiter->HandleReport(*report);
    }
  }
  this->state.quarantine->HandleReports(heartbeat);
  this->state.repeats->HandleHeartbeat(from_ip, heartbeat);
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
    // An agent that has just started knows neither gateways nor the owners of
    // groups.
    this->agents.SendToAgent(this->DescribeSelf(), member.ip);
  }
}

// Sums the open requests of the other gateways at each target, and applies the
// reports of agents.
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

uint64_t Peers::DesiredRevision() const {
  return std::max(this->fetched_desired_revision,
                  this->state.table_feed->updates_from());
}

// Fetches updates from a peer that knows more: the store may refuse this VM, or
// its watch may have stopped answering.
void Peers::FetchIfBehind(const MemberT& member) {
  const GatewayState& own = this->state;
  const uint64_t own_version = own.table == nullptr ? 0 : own.table->version;
  const bool is_behind =
      member.table_version > own_version ||
      member.desired_revision > this->DesiredRevision() ||
      member.targets_revision > own.targets_feed->newest_revision();
  const TimePoint now = EventLoop::Now();
  if (!is_behind || this->is_fetching ||
      now - this->last_fetch < kFetchInterval) {
    return;
  }
  this->is_fetching = true;
  this->last_fetch = now;
  const std::string query =
      "/v1/news?table=" + std::to_string(own_version) +
      "&desired=" + std::to_string(own.table_feed->updates_from()) +
      "&targets=" + std::to_string(own.targets_feed->updates_from());
  http::DirectCall::Fetch(
      this->state.loop,
      {.target = {member.ip, this->state.fleet().peer_port},
       .path = query,
       .headers = {{"host", member.ip}},
       .timeout = kFetchTimeout},
      [this, name = member.name, desired_revision = member.desired_revision](
          http::CallEnd end, const http::Response& response) {
        this->is_fetching = false;
        if (end == http::CallEnd::kWhole && response.status == 200) {
          Log(LogLevel::kInfo, "members", "news_fetched", {{"from", name}});
          this->HandleUpdate(response.body, desired_revision);
        }
      });
}

std::string Peers::SerializeUpdate(const KnownChanges& known) const {
  json update = {
      {"targets",
       SerializeItems(*this->state.targets_feed, known.targets_revision)},
      {"targets_complete_to", this->state.targets_feed->complete_to()}};
  const platform::PrefixFeed& desired = *this->state.table_feed;
  const uint64_t own_version =
      this->state.table == nullptr ? 0 : this->state.table->version;
  if (known.desired_revision) {
    update["desired"] = SerializeItems(desired, *known.desired_revision);
    update["desired_complete_to"] = desired.complete_to();
  } else if (own_version > known.table_version) {
    const auto found = desired.items().find(this->state.adapter.table_key);
    if (found != desired.items().end()) {
      update["table"] = json::binary(
          {found->second.value.begin(), found->second.value.end()});
      update["table_revision"] = found->second.revision;
    }
  }
  const std::vector<uint8_t> bytes = json::to_msgpack(update);
  return {bytes.begin(), bytes.end()};
}

void Peers::HandleUpdate(const std::string& text, uint64_t desired_revision) {
  const json update = json_text::ParsePacked(text);
  if (update.is_discarded() || !update.is_object()) {
    return;
  }
  try {
    this->ApplyUpdate(update);
    if (update.contains("desired")) {
      this->fetched_desired_revision =
          std::max(this->fetched_desired_revision, desired_revision);
    }
  } catch (const json::exception& failure) {
    // Another program may answer at a former address of a peer.
    Log(LogLevel::kError, "members", "news_unreadable",
        {{"error", failure.what()}});
  }
}

void Peers::ApplyUpdate(const json& update) {
  this->state.targets_feed->Merge(
      ParseItems(update.value("targets", json::array())),
      update.value("targets_complete_to", uint64_t{0}));
  this->state.table_feed->Merge(
      ParseItems(update.value("desired", json::array())),
      update.value("desired_complete_to", uint64_t{0}));
  // From a build that does not know evacuated zones.
  if (update.contains("table")) {
    const auto& value = update["table"].get_binary();
    this->state.table_feed->Merge(
        {{.key = this->state.adapter.table_key,
          .value = {value.begin(), value.end()},
          .revision = update.value("table_revision", uint64_t{0})}},
        /*complete_to=*/0);
  }
}

}  // namespace bramleyspan::gatewayd
