#include "Services/bramleyspand/Gateway/Peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibGateway/Offers.h"
#include "LibHTTP/DirectCall.h"
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

constexpr std::string_view kMembersPrefix = "bramleyspan/members/";
// Others learn a new process's address from its record in the store when no
// process that the settings name is up.
constexpr Duration kRecordLease = std::chrono::seconds(10);
constexpr Duration kRenewInterval = std::chrono::seconds(3);
constexpr Duration kStoredMembersInterval = std::chrono::seconds(3);
// How long a gateway that is behind a peer gives the store to tell it itself.
constexpr Duration kFetchInterval = std::chrono::milliseconds(150);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(700);
constexpr size_t kMostOpenCounts = 64;
constexpr uint64_t kTurnsPerAgentHeartbeat = 5;
// Each gateway speaks for itself; another one's word helps where its own way
// to an agent is cut.
constexpr size_t kGatewaysToldToAgents = 1;

// What an agent needs of another process: who and where it is, and whether it
// leads the group's map. Agents' links are small.
std::unique_ptr<MemberT> ForAgents(const MemberT& member) {
  auto in_short = std::make_unique<MemberT>();
  in_short->name = member.name;
  in_short->is_entry = member.is_entry;
  in_short->ip = member.ip;
  in_short->incarnation = member.incarnation;
  in_short->counter = member.counter;
  if (member.rank != nullptr) {
    in_short->rank = std::make_unique<membership::wire::RankStatusT>();
    in_short->rank->group = member.rank->group;
    in_short->rank->rank = member.rank->rank;
  }
  return in_short;
}

void AddHint(membership::Members& members, const std::string& ip) {
  const bool is_known = std::any_of(
      members.known.begin(), members.known.end(),
      [&ip](const auto& item) { return item.second.member.ip == ip; });
  if (!is_known) {
    members.hints[ip] = EventLoop::Now();
  }
}

}  // namespace

Result<void> Peers::Start() {
  const Settings& settings = this->state.settings;
  this->datagrams = TRY(Datagrams::Bind(
      this->state.loop, {settings.ip, this->state.fleet().peer_port},
      [this](const std::string& from_ip, std::string_view bytes) {
        this->HandleDatagram(from_ip, bytes);
      }));
  this->Tick();
  this->ReadStoredMembers();
  this->KeepRecord();
  return Succeed();
}

void Peers::Tick() {
  const TimePoint now = EventLoop::Now();
  membership::Forget(this->state.members, now);
  AdjustWatching(this->state, now);
  // The settings name their seeds for good, whether they are up or not.
  for (const std::string& ip : this->state.fleet().seeds) {
    if (ip != this->state.settings.ip) {
      AddHint(this->state.members, ip);
    }
  }
  this->Tell();
  this->UpdateLoads();
  ServeWaiting(this->state);
  this->state.loop.RunAfter(membership::kHeartbeatInterval,
                            [this] { this->Tick(); });
}

void Peers::Send(const std::string& ip, const std::string& bytes) {
  this->datagrams->Send({ip, this->state.fleet().peer_port}, bytes);
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
       membership::MembersToTell(this->state.members, this->turn,
                                 membership::kMembersPerHeartbeat, now)) {
    heartbeat.members.push_back(std::make_unique<MemberT>(*member));
  }
  const std::string bytes = membership::Encode(std::move(heartbeat));
  for (const std::string& ip :
       membership::PeersForHeartbeat(this->state.members, this->turn)) {
    this->datagrams->Send({ip, this->state.fleet().peer_port}, bytes);
  }
  if (this->turn % kTurnsPerAgentHeartbeat == 0) {
    this->TellAgents(self, std::nullopt);
  }
  ++this->turn;
}

// An agent needs to know the gateways and the owner of its group's map; the
// rest would only fill its small link.
void Peers::TellAgents(const MemberT& self,
                       const std::optional<std::string>& only_ip) {
  std::map<std::string, const MemberT*> owners;
  for (const auto& [name, known] : this->state.members.known) {
    const auto* rank = known.member.rank.get();
    if (rank != nullptr && rank->rank == 0) {
      owners[rank->group] = &known.member;
    }
  }
  // Every gateway, in short: an agent that knew only those that its settings
  // name would tell the others nothing of its rank.
  std::vector<const MemberT*> gateways{&self};
  for (const MemberT* member : membership::MembersToTell(
           this->state.members, this->turn / kTurnsPerAgentHeartbeat,
           kGatewaysToldToAgents, EventLoop::Now())) {
    gateways.push_back(member);
  }
  std::map<std::string, const MemberT*> owners_by_agent;
  for (const std::string& ip : this->AgentIpsOfTargets()) {
    owners_by_agent.emplace(ip, nullptr);
  }
  for (const auto& [name, known] : this->state.members.known) {
    if (known.member.is_entry) {
      continue;
    }
    const auto* rank = known.member.rank.get();
    const auto owner =
        rank == nullptr ? owners.end() : owners.find(rank->group);
    owners_by_agent[known.member.ip] =
        owner == owners.end() ? nullptr : owner->second;
  }
  for (const auto& [ip, owner] : owners_by_agent) {
    if (only_ip && ip != *only_ip) {
      continue;
    }
    membership::wire::HeartbeatT heartbeat;
    for (const MemberT* gateway : gateways) {
      heartbeat.members.push_back(ForAgents(*gateway));
    }
    if (owner != nullptr) {
      heartbeat.members.push_back(ForAgents(*owner));
    }
    this->Send(ip, membership::Encode(std::move(heartbeat)));
  }
}

// Agents that were not heard of yet are beside their targets. After a loss of
// power nobody knows anybody, and callers press: waiting until an agent had
// heard of this gateway from one that its settings name took a second.
std::vector<std::string> Peers::AgentIpsOfTargets() const {
  std::vector<std::string> ips;
  if (this->state.table == nullptr) {
    return ips;
  }
  for (const auto& [id, view] : this->state.targets.by_id) {
    const auto service = this->state.table->services.find(view.target.service);
    const bool has_agent = service != this->state.table->services.end() &&
                           service->second.engine && !view.is_replaced;
    if (has_agent) {
      ips.push_back(gateway::AgentIpOf(view));
    }
  }
  return ips;
}

MemberT Peers::DescribeSelf() {
  const GatewayState& now = this->state;
  MemberT self;
  self.name = now.settings.name;
  self.is_entry = true;
  self.zone = now.settings.zone;
  self.ip = now.settings.ip;
  self.incarnation = now.incarnation;
  self.counter = ++this->counter;
  self.is_ready = now.table != nullptr;
  self.is_leaving = now.is_draining;
  self.caller_address = Format(*now.fleet().callers);
  self.table_version = now.table == nullptr ? 0 : now.table->version;
  self.targets_revision = now.targets_feed->newest_revision();
  self.is_hungry = !now.waiting.empty();
  for (const auto& [id, view] : now.targets.by_id) {
    // An agent that answers probes knows its rank's load better than these
    // counts, which would fill a heartbeat at every gateway.
    const bool has_agent = view.rank && EventLoop::Now() - view.rank->heard <
                                            membership::kSuspectAfter;
    if (view.open == 0 || has_agent || self.open.size() >= kMostOpenCounts) {
      continue;
    }
    auto count = std::make_unique<membership::wire::OpenCountT>();
    count->target = id;
    count->open = static_cast<uint16_t>(view.open);
    self.open.push_back(std::move(count));
  }
  return self;
}

void Peers::HandleDatagram(const std::string& from_ip, std::string_view bytes) {
  const auto message = membership::Decode(bytes);
  if (message.has_error()) {
    return;
  }
  const auto& body = message.value().body;
  if (const auto* offer = body.AsPlaceOffer()) {
    this->state.placing->HandleOffer(*offer);
    return;
  }
  const auto* heartbeat = body.AsHeartbeat();
  if (heartbeat == nullptr) {
    return;
  }
  for (const auto& member : heartbeat->members) {
    if (member != nullptr) {
      this->HandleMember(*member, member->ip == from_ip);
    }
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
  if (!membership::Learn(this->state.members, member, is_direct, now)) {
    return;
  }
  if (!was_alive) {
    Log(LogLevel::kInfo, "members", "member_heard",
        {{"member", member.name},
         {"ip", member.ip},
         {"incarnation", std::to_string(member.incarnation)}});
  }
  if (member.is_entry && is_direct) {
    this->FetchIfBehind(member);
  } else if (is_direct && (!was_alive || is_restarted)) {
    // An agent that has just started knows neither gateways nor owners.
    this->TellAgents(this->DescribeSelf(), member.ip);
  }
}

// Adds up what the others have at each target, and takes what the agents say.
void Peers::UpdateLoads() {
  const TimePoint now = EventLoop::Now();
  std::map<std::string, gateway::TargetView*> by_address;
  for (auto& [id, view] : this->state.targets.by_id) {
    view.open_elsewhere = 0;
    if (!view.is_replaced) {
      by_address[Format(view.target.address)] = &view;
    }
    if (view.rank && now - view.rank->heard > membership::kSuspectAfter) {
      view.rank->is_open = true;
    }
  }
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
    const auto* rank = known.member.rank.get();
    const auto found =
        rank == nullptr ? by_address.end() : by_address.find(rank->address);
    if (found != by_address.end()) {
      found->second->rank = gateway::RankView{.group = rank->group,
                                              .epoch = rank->epoch,
                                              .rank = rank->rank,
                                              .size = rank->size,
                                              .is_open = rank->is_open,
                                              .running = rank->running,
                                              .queued = rank->queued,
                                              .pace = rank->pace,
                                              .agent_ip = known.member.ip,
                                              .heard = known.heard};
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
      "&targets=" + std::to_string(now_state.targets_feed->newest_revision());
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
  json news = {{"targets", json::array()}};
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
  this->state.targets_feed->Merge(items);
  if (news.contains("table")) {
    const auto& value = news["table"].get_binary();
    this->state.table_feed->Merge(
        {{.key = this->state.adapter.table_key,
          .value = {value.begin(), value.end()},
          .revision = news.value("table_revision", uint64_t{0})}});
  }
}

void Peers::ReadStoredMembers() {
  this->state.store.range(
      {.prefix = std::string(kMembersPrefix), .may_be_stale = true},
      [this](const Result<platform::RangePage>& page) {
        if (page.has_value()) {
          for (const auto& item : page.value().items) {
            if (item.value != this->state.settings.ip) {
              AddHint(this->state.members, item.value);
            }
          }
        }
        this->state.loop.RunAfter(kStoredMembersInterval,
                                  [this] { this->ReadStoredMembers(); });
      });
}

void Peers::KeepRecord() {
  this->state.loop.RunAfter(kRenewInterval, [this] { this->KeepRecord(); });
  if (std::exchange(this->is_keeping, true)) {
    return;
  }
  if (this->lease == 0) {
    this->state.store.grant_lease(kRecordLease,
                                  [this](const Result<uint64_t>& granted) {
                                    this->is_keeping = false;
                                    if (granted.has_value()) {
                                      this->lease = granted.value();
                                      this->PutRecord();
                                    }
                                  });
    return;
  }
  this->state.store.renew_lease(
      this->lease, [this](const Result<void>& renewed) {
        this->is_keeping = false;
        const bool is_ended =
            renewed.has_error() && renewed.error().code == ErrorCode::kNotFound;
        if (is_ended) {
          this->lease = 0;
        }
      });
}

void Peers::PutRecord() {
  this->state.store.put(
      {.key = std::string(kMembersPrefix) + this->state.settings.name,
       .value = this->state.settings.ip,
       .lease = this->lease},
      [this](const Result<uint64_t>& written) {
        if (written.has_error()) {
          this->lease = 0;
        }
      });
}

}  // namespace bramleyspan::gatewayd
