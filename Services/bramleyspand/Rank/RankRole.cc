// The role of the small process beside each model server: it reads its rank's
// reports and counts, which are free and fresh there, tells the gateways how
// the rank fares, carries out what the owner of the group's map wants, and
// leads the map itself beside rank 0.
#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/Digest.h"
#include "LibHTTP/Ingress.h"
#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"
#include "Services/bramleyspand/Rank/Deputy.h"
#include "Services/bramleyspand/Rank/Leader.h"
#include "Services/bramleyspand/Rank/MapOwner.h"
#include "Services/bramleyspand/Rank/Orders.h"
#include "Services/bramleyspand/Rank/RankReadings.h"
#include "Services/bramleyspand/Rank/RankState.h"
#include "Services/bramleyspand/Rank/RankTeller.h"
#include "Services/bramleyspand/Rank/Wishes.h"
#include "Services/bramleyspand/Role.h"

namespace bramleyspan::rankd {

namespace {

using http::CallEnd;
using mapswitch::Order;
using mapswitch::RankStatus;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kTickInterval = std::chrono::milliseconds(30);
// Gateways ask for places and hear of changes at once; this is to be known.
constexpr uint64_t kTicksPerHeartbeat = 14;
// In a switch the group may wait for this rank.
constexpr int kReportsPerTickOfSwitch = 3;
constexpr Duration kShapeInterval = std::chrono::seconds(5);
constexpr Duration kFirstShapeInterval = std::chrono::milliseconds(300);
constexpr Duration kFarCallTimeout = std::chrono::milliseconds(700);
// A group that is held for so long may wait for a rank whose agent is gone.
constexpr Duration kLongHold = std::chrono::milliseconds(300);

// What comes next is told against the whole map that was switched to.
void KeepMap(RankState& state, const RankStatus& status) {
  const auto& wish = state.wish;
  if (wish && wish->epoch == status.epoch && wish->version == status.map &&
      !wish->map.empty()) {
    state.map_in_force = {
        .epoch = status.epoch, .version = status.map, .map = wish->map};
  }
}

class RankRole : public Role {
 public:
  RankRole(EventLoop& loop, const Settings& settings)
      : state(loop, settings),
        readings(this->state,
                 {.on_status =
                      [this](RankStatus status) {
                        this->HandleOwnStatus(std::move(status));
                      },
                  .on_counts = [this] { this->teller.TellSuperior(); }}),
        wishes(this->state),
        leader(this->state, this->wishes),
        teller(this->state,
               this->leader,
               [this](const membership::wire::RankNewsT& news) {
                 this->TakeNews(this->state.settings.ip, news);
               }),
        orders(this->state, [this] { this->readings.ReadReport(); }),
        deputy(this->state, [this](const Address& server, const Order& order) {
          this->orders.SendFar(server, order);
        }) {}

  Result<void> Start() {
    const FleetSettings& fleet = this->state.fleet();
    const auto make =
        TRY(PluginRegistry<mapswitch::MakeRankAdapter>::Instance().Find(
            fleet.adapter));
    this->state.adapter = make();
    this->state.incarnation = RandomBits();
    this->state.map_switch.version_offset =
        mapswitch::DrawVersionOffset(RandomBits());
    this->state.members.own_name = this->state.settings.name;
    const std::string& ip = this->state.settings.ip;
    this->state.datagrams = TRY(
        PeerDatagrams::Bind(this->state.loop, {ip, fleet.peer_port},
                            [this](const std::string& from_ip,
                                   const membership::wire::MessageT& message) {
                              this->HandleMessage(from_ip, message);
                            }));
    this->metrics = TRY(this->Serve({ip, fleet.metrics_port}));
    this->internal = TRY(this->Serve({ip, fleet.peer_port}));
    this->Tick();
    this->AskForShape();
    return Succeed();
  }

  // Nothing of a request runs through an agent, so it may stop at once, but
  // not while it holds the group.
  void StartDrain() override {
    if (std::exchange(this->is_draining, true)) {
      return;
    }
    this->drain_began = EventLoop::Now();
    this->StopWhenReleased();
  }

 private:
  Result<std::unique_ptr<http::Ingress>> Serve(const Address& address) {
    return http::Ingress::Listen(
        this->state.loop, address, {},
        [this](const http::IngressRequest& request,
               const std::shared_ptr<http::IngressExchange>& exchange) {
          if (request.path == "/metrics") {
            exchange->Respond(200,
                              {{"content-type", "text/plain; version=0.0.4"}},
                              telemetry::SerializeMetrics());
          } else if (request.path == "/v1/dump") {
            exchange->Respond(200, {{"content-type", "application/json"}},
                              this->Dump().dump(2) + "\n");
          } else {
            exchange->Respond(404, {}, "");
          }
        });
  }

  void StopWhenReleased() {
    constexpr Duration kLongest = std::chrono::seconds(3);
    const bool is_held = this->state.own && this->state.own->held != 0;
    if (!is_held || EventLoop::Now() - this->drain_began > kLongest) {
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
    this->readings.ReadReport();
    this->leader.Tick(now);
    if (this->ticks % kTicksPerHeartbeat == 0 ||
        this->leader.TakeNewsForGateways()) {
      this->teller.TellGateways();
    }
    for (int part = 1; this->state.wish && part < kReportsPerTickOfSwitch;
         ++part) {
      this->state.loop.RunAfter(kTickInterval * part / kReportsPerTickOfSwitch,
                                [this] { this->readings.ReadReport(); });
    }
  }

  void HandleOwnStatus(RankStatus status) {
    RankState& now_state = this->state;
    const bool is_new_map = !now_state.own ||
                            now_state.own->map != status.map ||
                            now_state.own->epoch != status.epoch;
    const bool is_news_for_gateways = !now_state.own ||
                                      now_state.own->epoch != status.epoch ||
                                      now_state.own->group != status.group ||
                                      now_state.own->is_open != status.is_open;
    if (is_new_map) {
      Log(LogLevel::kInfo, "rank", "map_in_use",
          {{"group", status.group},
           {"rank", std::to_string(status.rank)},
           {"epoch", std::to_string(status.epoch)},
           {"map", std::to_string(status.map)},
           {"step", std::to_string(status.step)}});
      now_state.own_held = {};
      KeepMap(now_state, status);
      now_state.wish.reset();
      this->teller.TellListsSoon();
    }
    now_state.own = std::move(status);
    now_state.own_heard = EventLoop::Now();
    admission::NoteReport(now_state.places,
                          {.epoch = now_state.own->epoch,
                           .step = now_state.own->step,
                           .running = now_state.own->running,
                           .queued = now_state.own->queued,
                           .pace = now_state.own->pace,
                           .is_open = now_state.own->is_open},
                          now_state.own_heard);
    now_state.own->is_losing_orders =
        this->orders.is_losing(now_state.own_heard);
    if (now_state.own_held.sets.empty() ||
        now_state.own_held.version != now_state.own->map) {
      this->readings.ReadLists();
    }
    const auto& counted = now_state.last_counts;
    const bool is_new_pass = !counted ||
                             counted->epoch != now_state.own->epoch ||
                             counted->step < now_state.own->step;
    if (is_new_pass && this->readings.is_counts_pass(now_state.own->step)) {
      this->readings.ReadCounts();
    }
    if (is_news_for_gateways) {
      this->teller.TellGateways();
    }
    this->teller.TellSuperior();
    this->Act();
    this->deputy.HandleOwnStatus(EventLoop::Now());
  }

  void Act() {
    const TimePoint now = EventLoop::Now();
    if (this->state.is_owner()) {
      LeadMap(this->state, now);
      this->wishes.Tell(now);
      this->OrderSilentRanks(now);
    }
    if (!this->state.wish) {
      return;
    }
    const auto order =
        mapswitch::NextOrder(*this->state.wish, *this->state.own);
    if (order) {
      this->orders.SendOwn(*order, now);
    }
  }

  void OrderSilentRanks(TimePoint now) {
    const mapswitch::MapSwitch& map_switch = this->state.map_switch;
    const bool is_held = map_switch.phase == mapswitch::SwitchPhase::kArming ||
                         map_switch.phase == mapswitch::SwitchPhase::kReleasing;
    if (is_held && now - map_switch.since > kLongHold) {
      this->orders.OrderSilentRanks(now);
    }
  }

  void HandleMessage(const std::string& from_ip,
                     const membership::wire::MessageT& message) {
    const auto& body = message.body;
    if (const auto* probe = body.AsPlaceProbe()) {
      this->Offer(from_ip, *probe);
    } else if (const auto* taken = body.AsPlaceTaken()) {
      admission::TakenPlace place{.gateway = from_ip, .number = taken->number};
      if (taken->is_settled) {
        admission::NoteSettled(this->state.places, place);
      } else {
        admission::NoteTaken(this->state.places, std::move(place),
                             EventLoop::Now());
      }
    } else if (const auto* heartbeat = body.AsHeartbeat()) {
      this->HandleHeartbeat(*heartbeat, from_ip);
    } else if (const auto* news = body.AsRankNews()) {
      if (!this->leader.HandleNews(from_ip, *news)) {
        this->TakeNews(from_ip, *news);
      }
    } else if (const auto* bundle = body.AsNewsBundle()) {
      const bool has_jumped = HandleBundle(this->state, from_ip, *bundle);
      this->ActAfterNews(has_jumped);
    } else if (const auto* wish = body.AsMapWish()) {
      this->teller.NoteSender(from_ip);
      this->HandleWish(*wish);
    }
  }

  void HandleWish(const membership::wire::MapWishT& wish) {
    const TimePoint now = EventLoop::Now();
    const Taking taking = TakeWish(this->state, wish, now);
    if (taking == Taking::kRefused) {
      return;
    }
    this->leader.PassWish(now);
    if (taking == Taking::kNew) {
      this->teller.TellSuperiorNow();
      this->readings.ReadReport();
    }
  }

  void HandleHeartbeat(const membership::wire::HeartbeatT& heartbeat,
                       const std::string& from_ip) {
    this->teller.NoteSender(from_ip);
    for (const auto& place : heartbeat.ranks) {
      if (place == nullptr || !this->state.own ||
          place->group != this->state.own->group ||
          place->rank >= this->state.own->size) {
        continue;
      }
      Superior& known = this->state.superiors[place->rank];
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
      this->teller.TellOfOwnRank(from_ip);
    }
  }

  void TakeNews(const std::string& from_ip,
                const membership::wire::RankNewsT& news) {
    this->ActAfterNews(HandleRankNews(this->state, from_ip, news));
  }

  void ActAfterNews(bool has_jumped) {
    // A switch begins and goes on with the last rank's news, not with the next
    // tick.
    const bool is_switching =
        this->state.map_switch.phase != mapswitch::SwitchPhase::kIdle;
    if (this->state.is_owner() && (has_jumped || is_switching)) {
      this->Act();
    }
  }

  // Answers a gateway that looks for a place for a stream.
  void Offer(const std::string& gateway_ip,
             const membership::wire::PlaceProbeT& probe) {
    const TimePoint now = EventLoop::Now();
    const admission::PlaceOffer offer =
        admission::OfferOf(this->state.places, probe.is_late, now);
    if (offer.is_admitting) {
      admission::NoteOffered(this->state.places, now);
    }
    membership::wire::PlaceOfferT wire;
    wire.number = probe.number;
    wire.address = Format(*this->state.fleet().engine);
    wire.is_admitting = offer.is_admitting;
    wire.is_slow = offer.is_slow;
    wire.load = offer.load;
    wire.limit = offer.limit;
    wire.pass_microseconds = static_cast<uint64_t>(offer.pass.count());
    this->state.datagrams->Send(gateway_ip,
                                membership::Encode(std::move(wire)));
  }

  void HandleMember(const membership::wire::MemberT& member,
                    const std::string& from_ip) {
    const bool is_direct = member.ip == from_ip;
    const auto found = this->state.members.known.find(member.name);
    const bool is_new = found == this->state.members.known.end() ||
                        found->second.member.incarnation != member.incarnation;
    const bool is_learnt = membership::Merge(this->state.members, member,
                                             is_direct, EventLoop::Now());
    // A gateway that has just started learns of this rank at once.
    if (is_learnt && is_new && member.is_entry) {
      this->teller.TellGateway(member.ip);
    }
  }

  void HandlePlacesShape(const nlohmann::json& body) {
    const admission::RankPlacesSettings usual;
    this->state.places.settings = {
        .slots = body.value("slots", usual.slots),
        .longest_pause = std::chrono::microseconds(
            body.value("longest_pause_us", usual.longest_pause.count())),
        .least_pass = std::chrono::microseconds(
            body.value("least_pass_us", usual.least_pass.count()))};
  }

  void AskForShape() {
    const bool is_known = this->state.shape.has_value();
    this->state.loop.RunAfter(is_known ? kShapeInterval : kFirstShapeInterval,
                              [this] { this->AskForShape(); });
    const std::set<std::string> ips = this->teller.GatewayIps();
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
         .timeout = kFarCallTimeout},
        [this](CallEnd end, const http::Response& response) {
          const auto body =
              nlohmann::json::parse(response.body, nullptr, false);
          if (end != CallEnd::kWhole || response.status != 200 ||
              !body.is_object()) {
            return;
          }
          this->state.shape = MapShape{
              .sets = body.value("sets", 0U),
              .experts = body.value("experts", 0U),
              .places_per_rank = body.value("places_per_rank", 0U),
              .spare = body.value("spare", 0U),
              .copy =
                  std::chrono::microseconds(body.value("copy_us", int64_t{0}))};
          this->HandlePlacesShape(body);
        });
  }

  nlohmann::json Dump() const {
    nlohmann::json dump = {{"process", this->state.settings.name},
                           {"role", "rank"},
                           {"incarnation", this->state.incarnation},
                           {"is_owner", this->state.is_owner()}};
    if (this->state.own) {
      const RankStatus& own = *this->state.own;
      dump["rank"] = {{"group", own.group},    {"rank", own.rank},
                      {"epoch", own.epoch},    {"map", own.map},
                      {"step", own.step},      {"held", own.held},
                      {"armed", own.armed},    {"prepared", own.prepared},
                      {"running", own.running}};
      dump["rank_age_ms"] =
          (EventLoop::Now() - this->state.own_heard).count() / 1000;
    }
    for (const auto& [rank, superior] : this->state.superiors) {
      dump["superiors"][std::to_string(rank)] = superior.ip;
    }
    dump["is_spoken_for"] = this->teller.is_spoken_for(EventLoop::Now());
    dump["switch"] = {
        {"phase", mapswitch::NameOf(this->state.map_switch.phase)},
        {"version", this->state.map_switch.wish.version}};
    return dump;
  }

  RankState state;
  RankReadings readings;
  WishTeller wishes;
  Leader leader;
  RankTeller teller;
  Orders orders;
  Deputy deputy;
  std::unique_ptr<http::Ingress> metrics;
  std::unique_ptr<http::Ingress> internal;
  uint64_t ticks = 0;
  bool is_draining = false;
  TimePoint drain_began;
};

const PluginRegistration<StartRole> kRegistration("rank",
                                                  StartRoleOf<RankRole>);

}  // namespace

}  // namespace bramleyspan::rankd
