// The role of the agent process beside each model server. It polls its rank's
// reports and counts, which is cheap and fast on the same machine, sends the
// rank's status to gateways, carries out what the owner of the group's map
// wants, and is the owner itself beside rank 0.
#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/Digest.h"
#include "LibHTTP/Ingress.h"
#include "LibJSON/Read.h"
#include "LibMemory/Connections.h"
#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"
#include "LibTelemetry/RenderedMetrics.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/Rank/DesiredMaps.h"
#include "Services/bramleyspand/Rank/GroupStandstill.h"
#include "Services/bramleyspand/Rank/Leader.h"
#include "Services/bramleyspand/Rank/MapOwner.h"
#include "Services/bramleyspand/Rank/OrderSender.h"
#include "Services/bramleyspand/Rank/PermitOffers.h"
#include "Services/bramleyspand/Rank/RankPoller.h"
#include "Services/bramleyspand/Rank/RankState.h"
#include "Services/bramleyspand/Rank/RankUpdateSender.h"
#include "Services/bramleyspand/Rank/StandbyOwner.h"
#include "Services/bramleyspand/Role.h"

namespace bramleyspan::rankd {

namespace {

using http::CallEnd;
using mapswitch::Order;
using mapswitch::RankStatus;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kTickInterval = std::chrono::milliseconds(30);
// Gateways probe for permits and are notified of changes at once; the heartbeat
// only keeps this agent known to them.
constexpr uint64_t kTicksPerHeartbeat = 14;
// During a switch the group may wait for this rank.
constexpr int kReportsPerTickOfSwitch = 3;
constexpr Duration kShapeInterval = std::chrono::seconds(5);
constexpr Duration kFirstShapeInterval = std::chrono::milliseconds(300);
constexpr Duration kRemoteCallTimeout = std::chrono::milliseconds(700);
// A group that is held for so long may wait for a rank whose agent has failed.
constexpr Duration kLongHold = std::chrono::milliseconds(300);

// Keeps the complete map that was switched to as the base of the next one.
void RecordMapInForce(RankState& state, const RankStatus& status) {
  const auto& desired_map = state.desired_map;
  if (desired_map && desired_map->epoch == status.epoch &&
      desired_map->version == status.map && !desired_map->map.empty()) {
    state.map_in_force = {
        .epoch = status.epoch, .version = status.map, .map = desired_map->map};
  }
}

class RankRole : public Role {
 public:
  RankRole(EventLoop& loop, const Settings& settings)
      : state(loop, settings),
        poller(
            this->state,
            {.on_status =
                 [this](RankStatus status) {
                   this->HandleOwnStatus(std::move(status));
                 },
             .on_counts = [this] { this->update_sender.SendUpdateIfDue(); }}),
        desired_map_sender(this->state),
        leader(this->state, this->desired_map_sender),
        update_sender(this->state,
                      this->leader,
                      [this](const membership::wire::RankNewsT& update) {
                        this->ApplyUpdate(this->state.settings.ip, update);
                      }),
        order_sender(this->state, [this] { this->poller.PollReport(); }),
        standby_owner(this->state,
                      [this](const Address& server, const Order& order) {
                        this->order_sender.SendRemote(server, order);
                      }),
        permit_offers(this->state),
        group_standstill(this->state),
        holds(MakeHolds(settings, loop)) {}

  Result<void> Start() {
    const FleetSettings& fleet = this->state.fleet();
    const auto make =
        TRY(PluginRegistry<mapswitch::MakeRankAdapter>::Instance().Find(
            fleet.adapter));
    this->state.adapter = make();
    this->state.incarnation = RandomBits();
    this->state.map_switch.version_offset =
        mapswitch::VersionOffsetAt(EventLoop::Now());
    this->state.members.own_name = this->state.settings.name;
    const std::string& ip = this->state.settings.ip;
    this->state.datagrams = TRY(
        PeerDatagrams::Bind(this->state.loop, {ip, fleet.peer_port},
                            [this](const std::string& from_ip,
                                   const membership::wire::MessageT& message) {
                              this->HandleMessage(from_ip, message);
                            }));
    const memory::ConnectionShares shares = SharesOf(this->state.settings);
    this->metrics =
        TRY(this->Serve({ip, fleet.metrics_port}, "metrics", shares.metrics));
    this->internal =
        TRY(this->Serve({ip, fleet.peer_port}, "internal", shares.internal));
    this->Tick();
    this->RequestShape();
    return Succeed();
  }

  // No request passes through an agent, so it may stop at once, but not while
  // its rank holds the group, nor while the group waits for a switch of which
  // it is the owner.
  void StartDrain() override {
    if (std::exchange(this->is_draining, true)) {
      return;
    }
    this->drain_began = EventLoop::Now();
    this->StopWhenReleased();
  }

  void Close() override {
    this->metrics.reset();
    this->internal.reset();
  }

 private:
  Result<std::unique_ptr<http::Ingress>> Serve(const Address& address,
                                               const std::string& port,
                                               size_t max_connections) {
    return http::Ingress::Listen(
        this->state.loop, address, {.max_body_bytes = kMaxQueryBodyBytes},
        [this](const http::IngressRequest& request,
               const std::shared_ptr<http::IngressExchange>& exchange) {
          if (request.path == "/metrics") {
            exchange->Respond(
                200, {{"content-type", "text/plain; version=0.0.4"}},
                telemetry::Render(this->metrics_text, EventLoop::Now(),
                                  [this] { UpdateHeldGauges(*this->holds); }));
          } else if (request.path == "/v1/dump") {
            exchange->Respond(200, {{"content-type", "application/json"}},
                              json_text::Write(this->Dump(), 2) + "\n");
          } else {
            exchange->Respond(404, {}, "");
          }
        },
        GuardClients(port, this->holds, max_connections));
  }

  void StopWhenReleased() {
    constexpr Duration kLongest = std::chrono::seconds(3);
    const TimePoint now = EventLoop::Now();
    const bool is_held = this->state.own && this->state.own->held != 0;
    const bool is_needed =
        this->state.is_owner() &&
        !mapswitch::may_owner_leave(this->state.map_switch, now);
    if ((!is_held && !is_needed) || now - this->drain_began > kLongest) {
      this->state.loop.Stop();
      return;
    }
    this->state.loop.RunAfter(kTickInterval,
                              [this] { this->StopWhenReleased(); });
  }

  void Tick() {
    ++this->ticks;
    this->state.loop.RunAfter(kTickInterval, [this] { this->Tick(); });
    const TimePoint now = EventLoop::Now();
    membership::RemoveExpired(this->state.members, now);
    this->poller.PollReport();
    this->leader.Tick(now);
    if (this->ticks % kTicksPerHeartbeat == 0 ||
        this->leader.ConsumeGatewayUpdate()) {
      this->update_sender.SendToGateways();
    }
    for (int part = 1;
         this->state.desired_map && part < kReportsPerTickOfSwitch; ++part) {
      this->state.loop.RunAfter(kTickInterval * part / kReportsPerTickOfSwitch,
                                [this] { this->poller.PollReport(); });
    }
  }

  void HandleOwnStatus(RankStatus status) {
    RankState& rank_state = this->state;
    const bool is_new_map = !rank_state.own ||
                            rank_state.own->map != status.map ||
                            rank_state.own->epoch != status.epoch;
    const bool is_gateway_update = !rank_state.own ||
                                   rank_state.own->epoch != status.epoch ||
                                   rank_state.own->group != status.group ||
                                   rank_state.own->is_open != status.is_open;
    if (is_new_map) {
      Log(LogLevel::kInfo, "rank", "map_in_use",
          {{"group", status.group},
           {"rank", std::to_string(status.rank)},
           {"epoch", std::to_string(status.epoch)},
           {"map", std::to_string(status.map)},
           {"step", std::to_string(status.step)}});
      rank_state.own_held = {};
      RecordMapInForce(rank_state, status);
      rank_state.desired_map.reset();
      this->update_sender.IncludeListsSoon();
    }
    const bool is_group_change = !rank_state.own ||
                                 rank_state.own->is_open != status.is_open ||
                                 rank_state.own->epoch != status.epoch;
    if (is_group_change) {
      this->permit_offers.HandleGroupChange(status.is_open, EventLoop::Now());
    }
    rank_state.own = std::move(status);
    rank_state.own_received_at = EventLoop::Now();
    admission::RecordReport(rank_state.rank_admission,
                            {.epoch = rank_state.own->epoch,
                             .step = rank_state.own->step,
                             .running = rank_state.own->running,
                             .queued = rank_state.own->queued,
                             .pace = rank_state.own->pace,
                             .is_open = rank_state.own->is_open},
                            rank_state.own_received_at);
    rank_state.own->is_losing_orders =
        this->order_sender.has_lost_order(rank_state.own_received_at);
    if (rank_state.own_held.sets.empty() ||
        rank_state.own_held.version != rank_state.own->map) {
      this->poller.PollLists();
    }
    const auto& counted = rank_state.last_counts;
    const bool is_new_pass = !counted ||
                             counted->epoch != rank_state.own->epoch ||
                             counted->step < rank_state.own->step;
    if (is_new_pass && this->poller.is_counts_pass(rank_state.own->step)) {
      this->poller.PollCounts();
    }
    if (is_gateway_update) {
      this->update_sender.SendToGateways();
    }
    this->update_sender.SendUpdateIfDue();
    this->Act();
    this->standby_owner.HandleOwnStatus(EventLoop::Now());
    this->group_standstill.HandleOwnStatus(EventLoop::Now());
  }

  void Act() {
    const TimePoint now = EventLoop::Now();
    if (this->state.is_owner()) {
      ManageMap(this->state, now);
      this->desired_map_sender.SendIfDue(now);
      this->OrderUnresponsiveRanks(now);
    }
    if (!this->state.desired_map) {
      return;
    }
    const auto order =
        mapswitch::NextOrder(*this->state.desired_map, *this->state.own);
    if (order) {
      this->order_sender.SendOwn(*order, now);
    }
  }

  void OrderUnresponsiveRanks(TimePoint now) {
    const mapswitch::MapSwitch& map_switch = this->state.map_switch;
    const bool is_held =
        map_switch.phase == mapswitch::SwitchPhase::kArming ||
        map_switch.phase == mapswitch::SwitchPhase::kReleasing ||
        map_switch.phase == mapswitch::SwitchPhase::kAborting;
    if (is_held && now - map_switch.since > kLongHold) {
      this->order_sender.OrderUnresponsiveRanks(now);
    }
  }

  void HandleMessage(const std::string& from_ip,
                     const membership::wire::MessageT& message) {
    const auto& body = message.body;
    if (const auto* probe = body.AsPlaceProbe()) {
      this->permit_offers.HandleProbe(from_ip, *probe);
    } else if (const auto* taken = body.AsPlaceTaken()) {
      this->permit_offers.HandleTaken(from_ip, *taken);
    } else if (const auto* heartbeat = body.AsHeartbeat()) {
      this->HandleHeartbeat(*heartbeat, from_ip);
    } else if (const auto* update = body.AsRankNews()) {
      if (!this->leader.HandleUpdate(from_ip, *update)) {
        this->ApplyUpdate(from_ip, *update);
      }
    } else if (const auto* bundle = body.AsNewsBundle()) {
      const bool has_shifted = HandleBundle(this->state, from_ip, *bundle);
      this->ActAfterUpdate(has_shifted);
    } else if (const auto* desired_map = body.AsMapWish()) {
      this->update_sender.RecordSender(from_ip);
      this->HandleDesiredMap(*desired_map);
    }
  }

  void HandleDesiredMap(const membership::wire::MapWishT& desired_map) {
    const TimePoint now = EventLoop::Now();
    const DesiredMapResult result =
        ApplyDesiredMap(this->state, desired_map, now);
    if (result == DesiredMapResult::kRefused) {
      return;
    }
    this->leader.ForwardDesiredMap(now);
    if (result == DesiredMapResult::kNew) {
      this->update_sender.SendUpdate();
      this->poller.PollReport();
    }
  }

  void HandleHeartbeat(const membership::wire::HeartbeatT& heartbeat,
                       const std::string& from_ip) {
    this->update_sender.RecordSender(from_ip);
    for (const auto& place : heartbeat.ranks) {
      if (place == nullptr || !this->state.own ||
          place->group != this->state.own->group ||
          place->rank >= this->state.own->size) {
        continue;
      }
      ParentAgent& known = this->state.parents[place->rank];
      if (place->epoch >= known.epoch) {
        known = {.epoch = place->epoch, .ip = place->ip};
      }
    }
    for (const auto& member : heartbeat.members) {
      if (member != nullptr) {
        this->HandleMember(*member, from_ip);
      }
    }
    if (heartbeat.is_asking) {
      this->update_sender.SendOwnRankTo(from_ip);
    }
  }

  void ApplyUpdate(const std::string& from_ip,
                   const membership::wire::RankNewsT& update) {
    this->ActAfterUpdate(HandleRankUpdate(this->state, from_ip, update));
  }

  void ActAfterUpdate(bool has_shifted) {
    // A switch starts and advances with the last rank's update, not with the
    // next tick.
    const bool is_switching =
        this->state.map_switch.phase != mapswitch::SwitchPhase::kIdle;
    if (this->state.is_owner() && (has_shifted || is_switching)) {
      this->Act();
    }
  }

  void HandleMember(const membership::wire::MemberT& member,
                    const std::string& from_ip) {
    const bool is_direct = member.ip == from_ip;
    const auto found = this->state.members.known.find(member.name);
    const bool is_new = found == this->state.members.known.end() ||
                        found->second.member.incarnation != member.incarnation;
    const bool is_merged = membership::Merge(this->state.members, member,
                                             is_direct, EventLoop::Now());
    // A gateway that has just started is notified of this rank at once.
    if (is_merged && is_new && member.is_entry) {
      this->update_sender.SendToGateway(member.ip);
    }
  }

  void HandleAdmissionSettings(const nlohmann::json& body) {
    const admission::RankAdmissionSettings usual;
    this->state.rank_admission.settings = {
        .slots = body.value("slots", usual.slots),
        .longest_pause = std::chrono::microseconds(
            body.value("longest_pause_us", usual.longest_pause.count())),
        .min_pass = std::chrono::microseconds(
            body.value("least_pass_us", usual.min_pass.count()))};
  }

  void RequestShape() {
    const bool is_known = this->state.shape.has_value();
    this->state.loop.RunAfter(is_known ? kShapeInterval : kFirstShapeInterval,
                              [this] { this->RequestShape(); });
    const std::set<std::string> ips = this->update_sender.GatewayIps();
    if (ips.empty()) {
      return;
    }
    auto chosen = ips.begin();
    std::advance(chosen, this->ticks % ips.size());
    http::DirectCall::Fetch(
        this->state.loop,
        {.target = {*chosen, this->state.fleet().peer_port},
         .path = "/v1/engine?address=" + Format(*this->state.fleet().engine),
         .headers = {{"host", *chosen}},
         .timeout = kRemoteCallTimeout},
        [this](CallEnd end, const http::Response& response) {
          const auto body = json_text::Parse(response.body);
          if (end != CallEnd::kWhole || response.status != 200 ||
              !body.is_object()) {
            return;
          }
          this->state.shape = MapShape{
              .sets = body.value("sets", 0U),
              .experts = body.value("experts", 0U),
              .expert_slots_per_rank = body.value("places_per_rank", 0U),
              .spare = body.value("spare", 0U),
              .copy =
                  std::chrono::microseconds(body.value("copy_us", int64_t{0}))};
          this->HandleAdmissionSettings(body);
        });
  }

  nlohmann::json Dump() const {
    nlohmann::json dump = {{"process", this->state.settings.name},
                           {"role", "rank"},
                           {"incarnation", this->state.incarnation},
                           {"is_owner", this->state.is_owner()}};
    if (this->state.own) {
      const RankStatus& own = *this->state.own;
      dump["rank"] = {{"group", own.group},       {"rank", own.rank},
                      {"epoch", own.epoch},       {"is_open", own.is_open},
                      {"map", own.map},           {"step", own.step},
                      {"held", own.held},         {"armed", own.armed},
                      {"prepared", own.prepared}, {"running", own.running}};
      dump["rank_age_ms"] =
          (EventLoop::Now() - this->state.own_received_at).count() / 1000;
    }
    for (const auto& [rank, parent] : this->state.parents) {
      dump["superiors"][std::to_string(rank)] = parent.ip;
    }
    dump["is_spoken_for"] =
        this->update_sender.is_represented(EventLoop::Now());
    dump["switch"] = {
        {"phase", mapswitch::NameOf(this->state.map_switch.phase)},
        {"version", this->state.map_switch.desired_map.version}};
    return dump;
  }

  RankState state;
  RankPoller poller;
  DesiredMapSender desired_map_sender;
  Leader leader;
  RankUpdateSender update_sender;
  OrderSender order_sender;
  StandbyOwner standby_owner;
  PermitOffers permit_offers;
  GroupStandstill group_standstill;
  // What is held for clients of the agent's ports.
  std::shared_ptr<memory::HoldTable> holds;
  std::unique_ptr<http::Ingress> metrics;
  std::unique_ptr<http::Ingress> internal;
  uint64_t ticks = 0;
  telemetry::RenderedMetrics metrics_text;
  bool is_draining = false;
  TimePoint drain_began;
};

const PluginRegistration<StartRole> kRegistration("rank",
                                                  StartRoleOf<RankRole>);

}  // namespace

}  // namespace bramleyspan::rankd
