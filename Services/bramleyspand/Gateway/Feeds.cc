#include "Services/bramleyspand/Gateway/Feeds.h"

#include <utility>

#include "LibMembership/Gossip.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string ServicesWithPriorities(const gateway::RouteTable& table) {
  std::string names;
  for (const auto& [name, service] : table.services) {
    if (service.has_priorities()) {
      names += (names.empty() ? "" : ",") + name;
    }
  }
  return names;
}

// Limits the requests to a target if it is cold and its service says how many
// a cold target takes.
void LimitIfCold(GatewayState& state, const std::string& id) {
  const auto view = state.targets.by_id.find(id);
  if (view == state.targets.by_id.end() || state.table == nullptr) {
    return;
  }
  const auto service = state.table->services.find(view->second.target.service);
  const double rate =
      service == state.table->services.end() ? 0 : service->second.warm_up_rate;
  const TimePoint now = EventLoop::Now();
  if (gateway::ApplyWarmUp(state.targets, id, rate, now)) {
    Log(LogLevel::kInfo, "targets", "target_cold",
        {{"target", id},
         {"service", view->second.target.service},
         {"per_second", std::to_string(rate)},
         {"for_ms", Milliseconds(view->second.target.cold_until - now)}});
  }
}

void HandleTableChange(GatewayState& state,
                       const platform::StoreItem& item,
                       platform::FeedSource source,
                       const OnTable& on_table) {
  if (item.is_removed) {
    return;
  }
  auto parsed = state.adapter.parse_table(item.value);
  if (parsed.has_error()) {
    Log(LogLevel::kError, "feeds", "table_unreadable",
        {{"revision", std::to_string(item.revision)},
         {"error", Describe(parsed.error())}});
    return;
  }
  // The highest version wins: a peer's copy may be older.
  if (state.table != nullptr &&
      parsed.value().version <= state.table->version) {
    return;
  }
  state.table = std::make_shared<const gateway::RouteTable>(
      std::move(parsed).assume_value());
  Log(LogLevel::kInfo, "feeds", "table_in_force",
      {{"version", std::to_string(state.table->version)},
       {"revision", std::to_string(item.revision)},
       {"heard_from", std::string(platform::NameOf(source))},
       {"hosts", std::to_string(state.table->hosts.size())},
       {"keys", std::to_string(state.table->tenants_by_key.size())},
       {"with_priorities", ServicesWithPriorities(*state.table)}});
  for (const auto& [id, view] : state.targets.by_id) {
    LimitIfCold(state, id);
  }
  std::set<std::string> services;
  for (const auto& [name, service] : state.table->services) {
    services.insert(name);
  }
  gateway::ApplyServices(state.targets, std::move(services));
  on_table(*state.table);
}

void HandleZoneChange(GatewayState& state,
                      const platform::StoreItem& item,
                      platform::FeedSource source) {
  const std::string zone =
      item.key.substr(state.adapter.evacuations_prefix.size());
  gateway::EvacuatedZones& zones = state.targets.evacuated;
  const bool is_changed =
      item.is_removed ? gateway::ApplyRestoration(zones, zone)
                      : gateway::ApplyEvacuation(zones, zone, item.revision,
                                                 EventLoop::Now());
  if (is_changed) {
    Log(LogLevel::kInfo, "feeds",
        item.is_removed ? "zone_restored" : "zone_evacuated",
        {{"zone", zone},
         {"revision", std::to_string(item.revision)},
         {"heard_from", std::string(platform::NameOf(source))}});
  }
}

void HandleTargetChange(GatewayState& state, const platform::StoreItem& item) {
  const std::string id = item.key.substr(item.key.rfind('/') + 1);
  std::optional<gateway::Target> target;
  if (!item.is_removed) {
    target = state.adapter.parse_target(item.key, item.value);
  }
  const bool was_announced = gateway::has_announced_leaving(state.targets, id);
  const auto known = state.targets.by_id.find(id);
  const bool was_usable =
      known != state.targets.by_id.end() && !known->second.target.is_leaving;
  const bool is_usable = target && !target->is_leaving;
  if (was_usable != is_usable) {
    Log(LogLevel::kInfo, "feeds", "target_changed",
        {{"target", id},
         {"now", is_usable         ? "usable"
                 : target          ? "leaving"
                 : item.is_removed ? "gone"
                                   : "unreadable"},
         {"revision", std::to_string(item.revision)}});
  }
  if (target) {
    target->revision = item.revision;
    target->cold_until = EventLoop::Now() + target->cold_for;
    gateway::ApplyTarget(state.targets, *std::move(target));
    LimitIfCold(state, id);
  } else {
    gateway::RemoveTarget(state.targets, id);
  }
  if (was_announced && !gateway::has_announced_leaving(state.targets, id)) {
    Log(LogLevel::kInfo, "targets", "leaving_ended", {{"target", id}});
  }
}

// Wait of the watches of a passive watcher, which need not notice by itself
// that the store stopped answering.
constexpr Duration kPassiveWait = std::chrono::seconds(8);
// In a large fleet passive watchers receive each change from several peers. If
// their watches waited for changes too, each change would cost a store call at
// each gateway.
constexpr Duration kLargeFleetWait = std::chrono::milliseconds(20);
constexpr Duration kLargeFleetPause = std::chrono::seconds(15);

platform::FeedEvents EventsOf(
    const std::string& name,
    std::function<void(const platform::StoreItem&, platform::FeedSource)>
        on_change) {
  platform::FeedEvents events;
  events.on_change = std::move(on_change);
  events.on_reachability_change =
      [name](const platform::ReachabilityChange& change) {
        Log(change.is_reachable ? LogLevel::kInfo : LogLevel::kWarning, "feeds",
            change.is_reachable ? "store_regained" : "store_lost",
            {{"feed", name},
             {"reason", change.reason},
             {"unheard_ms", Milliseconds(change.unanswered_for)},
             {"failed_calls", std::to_string(change.failures)}});
      };
  events.on_failure = [name](const platform::FailedCall& failed) {
    Log(LogLevel::kInfo, "feeds", "store_unanswered",
        {{"feed", name},
         {"call", std::string(failed.call)},
         {"took_ms", Milliseconds(failed.took)},
         {"next_in_ms", Milliseconds(failed.next_in)},
         {"reason", failed.reason}});
  };
  return events;
}

}  // namespace

void StartFeeds(GatewayState& state,
                OnTable on_table,
                std::function<void()> on_change) {
  state.table_feed = std::make_unique<platform::PrefixFeed>(
      TimersOf(state.loop), state.store,
      platform::ActiveFeedSettings(state.adapter.desired_prefix,
                                   state.fleet().notice_bound),
      EventsOf("table", [&state, on_table = std::move(on_table), on_change](
                            const platform::StoreItem& item,
                            platform::FeedSource source) {
        if (item.key == state.adapter.table_key) {
          HandleTableChange(state, item, source, on_table);
        } else if (item.key.starts_with(state.adapter.evacuations_prefix)) {
          HandleZoneChange(state, item, source);
          on_change();
        }
      }));
  state.targets_feed = std::make_unique<platform::PrefixFeed>(
      TimersOf(state.loop), state.store,
      platform::ActiveFeedSettings(state.adapter.targets_prefix,
                                   state.fleet().notice_bound),
      EventsOf("targets",
               [&state, on_change = std::move(on_change)](
                   const platform::StoreItem& item, platform::FeedSource) {
                 HandleTargetChange(state, item);
                 on_change();
               }));
  state.table_feed->Start();
  state.targets_feed->Start();
}

void AdjustWatches(GatewayState& state, TimePoint now) {
  const bool is_active =
      membership::is_active_watcher(state.members, state.incarnation, now);
  if (std::exchange(state.is_active_watcher, is_active) == is_active) {
    return;
  }
  Log(LogLevel::kInfo, "feeds", "watching",
      {{"how", is_active ? "closely" : "relaxed"},
       {"gateways",
        std::to_string(membership::CountGateways(state.members, now))}});
  Duration wait = platform::ActiveWatchWait(state.fleet().notice_bound);
  Duration pause{};
  if (!is_active && membership::is_large(state.members)) {
    wait = kLargeFleetWait;
    pause = kLargeFleetPause;
  } else if (!is_active) {
    wait = kPassiveWait;
  }
  state.table_feed->SetWatchTiming(wait, pause);
  state.targets_feed->SetWatchTiming(wait, pause);
}

}  // namespace bramleyspan::gatewayd
