// What the parts of a gateway share.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "Kernel/Digest.h"
#include "LibGateway/Adapter.h"
#include "LibGateway/Permits.h"
#include "LibGateway/RepeatBudget.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/Targets.h"
#include "LibGateway/Waiting.h"
#include "LibHTTP/Ingress.h"
#include "LibMembership/Members.h"
#include "LibPlatform/PrefixFeed.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::gatewayd {

class Forwarding;
class PermitRequests;
class UsageRecorder;

struct GatewayState {
  GatewayState(EventLoop& loop, const Settings& settings)
      : loop(loop), settings(settings), random(RandomBits()) {}

  EventLoop& loop;
  Settings settings;
  gateway::Adapter adapter;
  platform::Store store;
  std::unique_ptr<platform::PrefixFeed> table_feed;
  std::unique_ptr<platform::PrefixFeed> targets_feed;
  // Whether this gateway's watches are short enough to notice silence soon.
  bool is_active_watcher = true;

  // Null until a desired state is known.
  std::shared_ptr<const gateway::RouteTable> table;
  gateway::TargetTable targets;
  gateway::Permits permits;
  gateway::RepeatBudget repeats;
  membership::Members members;
  uint64_t incarnation = 0;

  // Null until the gateway can ask agents.
  PermitRequests* permit_requests = nullptr;
  // Null until the gateway can count.
  UsageRecorder* usage = nullptr;
  // Services whose ranks had no place a moment ago are not asked until then.
  std::map<std::string, TimePoint> full_until;
  // The same for streams that are late in any case.
  std::map<std::string, TimePoint> full_for_late_until;
  // By route.
  std::map<std::string, gateway::WaitBudget> wait_budgets;
  // Requests that wait for a place, the next one first.
  std::list<std::shared_ptr<Forwarding>> waiting;
  std::map<uint64_t, Forwarding*> open;
  uint64_t last_forwarding = 0;
  bool is_draining = false;
  TimePoint last_request;

  std::mt19937_64 random;

  const FleetSettings& fleet() const { return *this->settings.fleet; }
};

// How this gateway shares what belongs to all.
gateway::Sharing SharingOf(const GatewayState& state, TimePoint now);

}  // namespace bramleyspan::gatewayd
