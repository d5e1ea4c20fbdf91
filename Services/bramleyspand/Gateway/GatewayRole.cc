// The role of an entry VM on a platform whose targets have no forwarding agent:
// the gateway accepts callers and sends requests straight to the targets.
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "Kernel/Digest.h"
#include "LibJSON/Read.h"
#include "LibMemory/Connections.h"
#include "LibPlatform/CountedStore.h"
#include "LibTelemetry/Log.h"
#include "LibTelemetry/RenderedMetrics.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/Gateway/CallerAddresses.h"
#include "Services/bramleyspand/Gateway/Feeds.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/GatewayStatus.h"
#include "Services/bramleyspand/Gateway/GatewayStop.h"
#include "Services/bramleyspand/Gateway/OrderRelay.h"
#include "Services/bramleyspand/Gateway/Peers.h"
#include "Services/bramleyspand/Gateway/PermitRequests.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/RateLimiter.h"
#include "Services/bramleyspand/Gateway/Repeats.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"
#include "Services/bramleyspand/Gateway/SilentTargets.h"
#include "Services/bramleyspand/Gateway/TargetEnds.h"
#include "Services/bramleyspand/Gateway/UsageRecorder.h"
#include "Services/bramleyspand/Role.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kAdjustInterval = std::chrono::milliseconds(250);
constexpr Duration kServeInterval = std::chrono::milliseconds(25);
constexpr Duration kStatusInterval = std::chrono::seconds(5);
constexpr Duration kHeartbeatDelay = std::chrono::milliseconds(2);
// The internal port takes orders with the map of a whole group.
constexpr size_t kMaxOrderBytes = size_t{1} << 20;

class GatewayRole : public Role {
 public:
  GatewayRole(EventLoop& loop, const Settings& settings)
      : state(loop, settings),
        peers(this->state),
        permit_requests(
            this->state,
            [this](const std::string& ip, const std::string& bytes) {
              this->peers.Send(ip, bytes);
            }),
        silent_targets(this->state,
                       [this](const std::string& ip, const std::string& bytes) {
                         this->peers.Send(ip, bytes);
                       }),
        signals(this->state, [this] { this->ScheduleHeartbeats(); }),
        rate_limiter(this->state,
                     [this](const std::string& ip, const std::string& bytes) {
                       this->peers.Send(ip, bytes);
                     }),
        repeats(
            this->state,
            [this](const std::string& ip, const std::string& bytes) {
              this->peers.Send(ip, bytes);
            },
            [this](const std::string& bytes) {
              this->peers.SendToGateways(bytes);
            }),
        target_ends(this->state),
        quarantine(this->state,
                   [this](const std::string& bytes) {
                     this->peers.SendToGateways(bytes);
                   }),
        usage(this->state),
        stop(this->state, this->repeats, this->usage) {
    this->state.silent_targets = &this->silent_targets;
    this->state.signals = &this->signals;
    this->state.rate_limiter = &this->rate_limiter;
    this->state.repeats = &this->repeats;
    this->state.target_ends = &this->target_ends;
    this->state.quarantine = &this->quarantine;
    this->state.permit_requests = &this->permit_requests;
    this->state.usage = &this->usage;
  }

  Result<void> Start() {
    const FleetSettings& fleet = this->state.fleet();
    const auto make = TRY(
        PluginRegistry<gateway::MakeAdapter>::Instance().Find(fleet.adapter));
    this->state.adapter = make();
    this->state.incarnation = RandomBits();
    membership::Members& members = this->state.members;
    members.own_name = this->state.settings.name;
    members.own_zone = this->state.settings.zone;
    this->repeats.Start();
    this->state.store = platform::CountCalls(
        this->state.adapter.open_store(this->state.loop, fleet.store),
        [this](std::string_view call, std::string_view outcome, Duration took) {
          this->RecordStoreCall(call, outcome, took);
        });
    StartFeeds(
        this->state,
        [this](const gateway::RouteTable& table) { this->HandleTable(table); },
        [this] { this->ScheduleHeartbeats(); });
    this->quarantine.Start();
    TRY(this->peers.Start());
    this->usage.Start();
    this->silent_targets.Start();
    TRY(this->ServeAll());
    this->AdjustPeriodically();
    this->ServeWaitingPeriodically();
    this->LogStatusPeriodically();
    return Succeed();
  }

  void StartDrain() override {
    if (this->state.is_draining()) {
      return;
    }
    this->stop.Start(*this->callers);
    this->directory->StartDrain();
    this->peers.SendHeartbeatsNow();
  }

  void Close() override {
    this->callers.reset();
    this->directory.reset();
    this->readiness.reset();
    this->internal.reset();
    this->metrics.reset();
  }

  void HandleSettings(const Settings& settings) override {
    const FleetSettings& fleet = *settings.fleet;
    FleetSettings& own = *this->state.settings.fleet;
    own.seeds = fleet.seeds;
    own.directory_lifetime = fleet.directory_lifetime;
    own.stop_bound = fleet.stop_bound;
    own.usage_interval = fleet.usage_interval;
    own.repeat_ratio = fleet.repeat_ratio;
    own.repeat_slack = fleet.repeat_slack;
    own.repeat_window = fleet.repeat_window;
    this->repeats.HandleSettings();
  }

 private:
  using Handler = void (*)(GatewayRole& role,
                           const http::IngressRequest& request,
                           const std::shared_ptr<http::IngressExchange>&);

  // A port with what bounds its clients.
  struct Port {
    std::optional<Address> address;
    std::string name;
    size_t max_connections = 0;
    size_t max_body_bytes = 0;
  };

  Result<std::unique_ptr<http::Ingress>> Serve(const Port& port,
                                               http::IngressHandler handler) {
    if (!port.address) {
      return std::unique_ptr<http::Ingress>();
    }
    return http::Ingress::Listen(
        this->state.loop, *port.address,
        {.max_body_bytes = port.max_body_bytes}, std::move(handler),
        GuardClients(port.name, this->state.holds, port.max_connections));
  }

  http::IngressHandler HandledBy(Handler handler) {
    return [this, handler](
               const http::IngressRequest& request,
               const std::shared_ptr<http::IngressExchange>& exchange) {
      handler(*this, request, exchange);
    };
  }

  Result<void> ServeAll() {
    const FleetSettings& fleet = this->state.fleet();
    const std::string& ip = this->state.settings.ip;
    const memory::ConnectionShares shares = SharesOf(this->state.settings);
    this->callers = TRY(this->Serve(
        {fleet.callers, "callers", shares.callers,
         http::IngressLimits{}.max_body_bytes},
        [this](http::IngressRequest request,
               const std::shared_ptr<http::IngressExchange>& exchange) {
          HandleCaller(this->state, std::move(request), exchange);
        }));
    this->directory = TRY(this->Serve(
        {fleet.directory, "directory", shares.directory, kMaxQueryBodyBytes},
        this->HandledBy(HandleDirectory)));
    this->readiness = TRY(this->Serve(
        {fleet.readiness, "readiness", shares.readiness, kMaxQueryBodyBytes},
        this->HandledBy(HandleReadiness)));
    this->internal = TRY(this->Serve({Address{ip, fleet.peer_port}, "internal",
                                      shares.internal, kMaxOrderBytes},
                                     this->HandledBy(HandleInternal)));
    this->metrics = TRY(this->Serve({Address{ip, fleet.metrics_port}, "metrics",
                                     shares.metrics, kMaxQueryBodyBytes},
                                    this->HandledBy(HandleMetrics)));
    return Succeed();
  }

  static void HandleReadiness(
      GatewayRole& role,
      const http::IngressRequest& request,
      const std::shared_ptr<http::IngressExchange>& exchange) {
    const bool is_known = request.path == role.state.adapter.readiness_path;
    exchange->Respond(!is_known ? 404 : role.is_ready() ? 200 : 503, {}, "");
  }

  static void HandleDirectory(
      GatewayRole& role,
      const http::IngressRequest& request,
      const std::shared_ptr<http::IngressExchange>& exchange) {
    if (request.path != role.state.adapter.directory_path) {
      exchange->Respond(404, {}, "");
      return;
    }
    const std::vector<std::string> addresses = AddressesForCallers(
        role.state, role.is_ready(),
        http::FindQueryValue(request.query,
                             role.state.adapter.caller_zone_parameter));
    if (addresses.empty()) {
      exchange->Respond(503, {{"retry-after", "0.5"}}, "");
      return;
    }
    exchange->Respond(200, {{"content-type", "application/json"}},
                      role.state.adapter.write_directory(
                          addresses, role.state.fleet().directory_lifetime));
  }

  static void HandleInternal(
      GatewayRole& role,
      const http::IngressRequest& request,
      const std::shared_ptr<http::IngressExchange>& exchange) {
    if (request.path == "/v1/news") {
      exchange->Respond(
          200, {{"content-type", "application/msgpack"}},
          role.peers.SerializeUpdate(
              {.table_version = NumberIn(request.query, "table"),
               .targets_revision = NumberIn(request.query, "targets"),
               .desired_revision = FindNumber(request.query, "desired")}));
    } else if (request.path == "/v1/engine") {
      role.RespondWithEngine(http::FindQueryValue(request.query, "address"),
                             *exchange);
    } else if (request.path == "/v1/orders") {
      RelayOrder(role.state, request, exchange);
    } else if (request.path == "/v1/usage") {
      exchange->Respond(200, {{"content-type", "application/json"}},
                        role.usage.Serialize() + "\n");
    } else if (request.path == "/v1/quarantine") {
      exchange->Respond(200, {{"content-type", "application/json"}},
                        json_text::Write(role.quarantine.Dump(), 2) + "\n");
    } else if (request.path == "/v1/quarantine/release" &&
               request.method == "POST") {
      const bool is_released = role.quarantine.Release(
          http::FindQueryValue(request.query, "service"),
          http::FindQueryValue(request.query, "part"));
      exchange->Respond(is_released ? 200 : 404, {}, "");
    } else if (request.path == "/v1/dump") {
      exchange->Respond(200, {{"content-type", "application/json"}},
                        json_text::Write(Dump(role.state), 2) + "\n");
    } else {
      exchange->Respond(404, {}, "");
    }
  }

  static void HandleMetrics(
      GatewayRole& role,
      const http::IngressRequest& request,
      const std::shared_ptr<http::IngressExchange>& exchange) {
    if (request.path != "/metrics") {
      exchange->Respond(404, {}, "");
      return;
    }
    const std::string& text =
        telemetry::Render(role.metrics_text, EventLoop::Now(), [&role] {
          UpdateGauges(role.state);
          UpdateHeldGauges(*role.state.holds);
        });
    exchange->Respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                      text);
  }

  // Responds with the shape of the expert maps of the agent's engine.
  void RespondWithEngine(const std::string& address,
                         http::IngressExchange& exchange) const {
    for (const auto& [id, view] : this->state.targets.by_id) {
      if (this->state.table == nullptr ||
          Format(view.target.address) != address) {
        continue;
      }
      const auto found = this->state.table->services.find(view.target.service);
      if (found != this->state.table->services.end() && found->second.engine) {
        const gateway::EngineShape& engine = *found->second.engine;
        const nlohmann::json shape = {
            {"sets", engine.sets},
            {"experts", engine.experts},
            {"places_per_rank", engine.expert_slots_per_rank},
            {"spare", engine.spare},
            {"copy_us", gateway::CopyTimeOf(engine).count()},
            {"slots", engine.slots},
            {"least_pass_us", (engine.step * engine.stride).count()},
            {"longest_pause_us",
             this->ShortestPause(view.target.service).count()}};
        exchange.Respond(200, {{"content-type", "application/json"}},
                         shape.dump());
        return;
      }
    }
    exchange.Respond(404, {}, "");
  }

  static std::optional<uint64_t> FindNumber(std::string_view query,
                                            std::string_view name) {
    const bool has_name = !http::FindQueryValue(query, name).empty();
    return has_name ? std::optional(NumberIn(query, name)) : std::nullopt;
  }

  static uint64_t NumberIn(std::string_view query, std::string_view name) {
    return std::strtoull(http::FindQueryValue(query, name).c_str(), nullptr,
                         10);
  }

  bool is_ready() const {
    return this->state.table != nullptr && !this->state.is_draining();
  }

  void HandleTable(const gateway::RouteTable& table) {
    const gateway::CallerLimits& bounds = table.limits;
    this->callers->SetLimits({.max_head_bytes = bounds.header_bytes,
                              .max_body_bytes = bounds.body_bytes,
                              .head_timeout = bounds.header_timeout,
                              .idle_timeout = bounds.idle_timeout});
    this->RemoveUnknownRoutes();
    this->peers.SendHeartbeatsNow();
  }

  // Target records change in bursts, mostly at the start; one heartbeat reports
  // them all.
  void ScheduleHeartbeats() {
    if (std::exchange(this->is_heartbeat_scheduled, true)) {
      return;
    }
    this->state.loop.RunAfter(kHeartbeatDelay, [this] {
      this->is_heartbeat_scheduled = false;
      this->peers.SendHeartbeatsNow();
    });
  }

  // Logs when a service becomes unavailable or available.
  void UpdateAvailabilityOf(const std::string& service) {
    const TimePoint now = EventLoop::Now();
    gateway::Availability& availability = this->state.availability[service];
    gateway::UpdateAvailability(availability, this->state.targets, service,
                                now);
    const bool is_unavailable = gateway::is_unavailable(availability, now);
    const bool was_unavailable = this->unavailable_services.contains(service);
    if (is_unavailable && !was_unavailable) {
      this->unavailable_services.insert(service);
      Log(LogLevel::kWarning, "forward", "service_unavailable",
          {{"service", service}, {"groups", gateway::Describe(availability)}});
    } else if (!is_unavailable && was_unavailable) {
      this->unavailable_services.erase(service);
      Log(LogLevel::kInfo, "forward", "service_available",
          {{"service", service}, {"groups", gateway::Describe(availability)}});
    }
  }

  // Forgets what is known of routes that the desired state no longer has.
  void RemoveUnknownRoutes() {
    std::set<std::string> names;
    for (const auto& [host, routes] : this->state.table->hosts) {
      for (const auto& route : routes) {
        names.insert(route->name);
      }
    }
    const auto is_unknown = [&names](const auto& item) {
      return !names.contains(item.first);
    };
    std::erase_if(this->state.wait_budgets, is_unknown);
    std::erase_if(this->state.call_times, is_unknown);
  }

  // Forgets the services that the desired state no longer has.
  void RemoveUnknownServices() {
    const auto& services = this->state.table->services;
    std::erase_if(this->state.availability, [&services](const auto& item) {
      return !services.contains(item.first);
    });
    std::erase_if(this->state.stream_times, [&services](const auto& item) {
      return !services.contains(item.first);
    });
    std::erase_if(this->state.unframed_share, [&services](const auto& item) {
      return !services.contains(item.first);
    });
    std::erase_if(this->unavailable_services, [&services](const auto& name) {
      return !services.contains(name);
    });
  }

  void AdjustPeriodically() {
    if (this->state.table != nullptr) {
      this->RemoveUnknownServices();
      for (const auto& [name, service] : this->state.table->services) {
        if (service.engine) {
          this->UpdateAvailabilityOf(name);
          gateway::AdjustLimits(this->state.permits, this->state.targets,
                                service, this->ShortestPause(name));
        }
      }
    }
    gateway::RemoveOldSignals(this->state.targets, EventLoop::Now());
    this->quarantine.RemoveOld();
    ServeWaiting(this->state);
    this->state.loop.RunAfter(kAdjustInterval,
                              [this] { this->AdjustPeriodically(); });
  }

  // Permits also become free as time passes, not only when streams end.
  void ServeWaitingPeriodically() {
    if (!this->state.waiting.empty()) {
      ServeWaiting(this->state);
    }
    this->state.loop.RunAfter(kServeInterval,
                              [this] { this->ServeWaitingPeriodically(); });
  }

  // Returns the shortest of the longest pauses that the routes of the service
  // allow.
  Duration ShortestPause(const std::string& service) const {
    constexpr Duration kDefaultLongestPause = std::chrono::milliseconds(120);
    Duration shortest = Duration::max();
    for (const auto& [host, routes] : this->state.table->hosts) {
      for (const auto& route : routes) {
        const bool is_route_of_service =
            route->split.front().service == service;
        if (is_route_of_service && route->longest_pause > Duration(0)) {
          shortest = std::min(shortest, route->longest_pause);
        }
      }
    }
    return shortest == Duration::max() ? kDefaultLongestPause : shortest;
  }

  void RecordStoreCall(std::string_view call,
                       std::string_view outcome,
                       Duration took) {
    ++this->store_calls[std::string(call)];
    telemetry::Count(kStoreCalls, {{"call", std::string(call)},
                                   {"outcome", std::string(outcome)}});
    telemetry::Observe(kStoreCallTime, {{"call", std::string(call)}}, took);
  }

  void LogStatusPeriodically() {
    const TimePoint now = EventLoop::Now();
    nlohmann::json groups;
    for (const auto& [name, group] : this->state.permits.groups) {
      groups[name] = {group.streams_per_rank,
                      group.pause_quantile.count() / 1000};
    }
    Log(LogLevel::kInfo, "main", "status",
        {{"open", std::to_string(this->state.open.size())},
         {"waiting", std::to_string(this->state.waiting.size())},
         {"gateways", std::to_string(SharingOf(this->state, now).gateways)},
         {"groups", groups.dump()},
         {"store_calls", nlohmann::json(this->store_calls).dump()}});
    this->state.loop.RunAfter(kStatusInterval,
                              [this] { this->LogStatusPeriodically(); });
  }

  GatewayState state;
  Peers peers;
  PermitRequests permit_requests;
  SilentTargets silent_targets;
  SignalRecorder signals;
  RateLimiter rate_limiter;
  Repeats repeats;
  TargetEnds target_ends;
  Quarantines quarantine;
  UsageRecorder usage;
  GatewayStop stop;
  std::unique_ptr<http::Ingress> callers;
  std::unique_ptr<http::Ingress> directory;
  std::unique_ptr<http::Ingress> readiness;
  std::unique_ptr<http::Ingress> internal;
  std::unique_ptr<http::Ingress> metrics;
  telemetry::RenderedMetrics metrics_text;
  // Store calls by name since the start.
  std::map<std::string, uint64_t> store_calls;
  std::set<std::string> unavailable_services;
  bool is_heartbeat_scheduled = false;
};

const PluginRegistration<StartRole> kRegistration("gateway",
                                                  StartRoleOf<GatewayRole>);

}  // namespace

}  // namespace bramleyspan::gatewayd
