// State that the parts of a gateway share.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "Kernel/Digest.h"
#include "LibDrain/PlannedStop.h"
#include "LibGateway/Adapter.h"
#include "LibGateway/AnswerTimes.h"
#include "LibGateway/Availability.h"
#include "LibGateway/Permits.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/Targets.h"
#include "LibGateway/Waiting.h"
#include "LibHTTP/Ingress.h"
#include "LibMembership/Members.h"
#include "LibMemory/Hold.h"
#include "LibPlatform/PrefixFeed.h"
#include "LibScheduling/DenialCooldowns.h"
#include "LibScheduling/Forecast.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::gatewayd {

class Forwarding;
class PermitRequests;
class Quarantines;
class RateLimiter;
class Repeats;
class SignalRecorder;
class SilentTargets;
class TargetEnds;
class UsageRecorder;

struct GatewayState {
  GatewayState(EventLoop& loop, const Settings& settings)
      : loop(loop),
        settings(settings),
        holds(MakeHolds(settings, loop)),
        random(RandomBits()) {}

  EventLoop& loop;
  Settings settings;
  // What is held for callers and targets.
  std::shared_ptr<memory::HoldTable> holds;
  gateway::Adapter adapter;
  platform::Store store;
  // The desired state with the evacuated zones.
  std::unique_ptr<platform::PrefixFeed> table_feed;
  std::unique_ptr<platform::PrefixFeed> targets_feed;
  // Whether the watches of this gateway are short enough to notice soon that
  // the store stopped answering.
  bool is_active_watcher = true;

  // Null until a desired state is known.
  std::shared_ptr<const gateway::RouteTable> table;
  gateway::TargetTable targets;
  // By name of the service.
  std::map<std::string, gateway::Availability> availability;
  gateway::Permits permits;
  membership::Members members;
  uint64_t incarnation = 0;
  // Names of all gateways with a record in the store when it was last read;
  // they may be running though this gateway does not hear them.
  std::set<std::string> listed_gateways;

  // Null until the gateway can probe agents.
  PermitRequests* permit_requests = nullptr;
  // Null until the gateway handles callers.
  SignalRecorder* signals = nullptr;
  SilentTargets* silent_targets = nullptr;
  RateLimiter* rate_limiter = nullptr;
  Repeats* repeats = nullptr;
  TargetEnds* target_ends = nullptr;
  Quarantines* quarantine = nullptr;
  // Null until the gateway can count usage.
  UsageRecorder* usage = nullptr;
  // By name of the service: the classes of streams that had no permit just now,
  // and what the agents say of the queue.
  std::map<std::string, scheduling::DenialCooldowns> full;
  std::map<std::string, scheduling::Forecast> forecasts;
  // By name of the route.
  std::map<std::string, gateway::WaitBudget> wait_budgets;
  // How long answers take lately: of calls by route, of streams by service.
  std::map<std::string, gateway::AnswerTimes> call_times;
  std::map<std::string, gateway::AnswerTimes> stream_times;
  // By name of the service: the share of recent answers without a length.
  std::map<std::string, double> unframed_share;
  // Requests that wait for a permit, the next one first.
  std::list<std::shared_ptr<Forwarding>> waiting;
  // Requests that have not ended, by their numbers.
  std::map<uint64_t, Forwarding*> open;
  uint64_t last_forwarding = 0;
  // Set once the process was told to stop.
  std::optional<drain::PlannedStop> stop;
  TimePoint last_request;

  std::mt19937_64 random;

  bool is_draining() const { return this->stop.has_value(); }

  const FleetSettings& fleet() const { return *this->settings.fleet; }
};

// Returns the number of gateways that share the permits of all groups, and how
// many of the others have waiting requests.
gateway::Sharing SharingOf(const GatewayState& state, TimePoint now);

// Whether another gateway goes on, to which callers can turn.
bool has_other_gateways(const GatewayState& state, TimePoint now);

}  // namespace bramleyspan::gatewayd
