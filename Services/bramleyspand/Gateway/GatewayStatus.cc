#include "Services/bramleyspand/Gateway/GatewayStatus.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/Repeats.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"

namespace bramleyspan::gatewayd {

void UpdateGauges(const GatewayState& state) {
  const TimePoint now = EventLoop::Now();
  telemetry::SetGauge(kWaiting, {}, static_cast<double>(state.waiting.size()));
  telemetry::SetGauge(kLiveGateways, {},
                      static_cast<double>(SharingOf(state, now).gateways));
  telemetry::SetGauge(
      kTableVersion, {},
      state.table == nullptr ? 0 : static_cast<double>(state.table->version));
  telemetry::SetGauge(
      kEvacuatedZones, {},
      static_cast<double>(state.targets.evacuated.by_name.size()));
  for (const auto& [name, feed] :
       {std::pair("table", state.table_feed.get()),
        std::pair("targets", state.targets_feed.get())}) {
    telemetry::SetGauge(kFeedAge, {{"feed", name}},
                        std::chrono::duration<double>(feed->age(now)).count());
  }
  state.repeats->UpdateGauges();
  state.signals->UpdateGauges();
  state.quarantine->UpdateGauges();
  for (const auto& [name, group] : state.permits.groups) {
    telemetry::SetGauge(kGroupLimit, {{"group", name}}, group.streams_per_rank);
  }
}

nlohmann::json Dump(const GatewayState& state) {
  const TimePoint now = EventLoop::Now();
  nlohmann::json dump = {
      {"process", state.settings.name},
      {"role", "gateway"},
      {"incarnation", state.incarnation},
      {"is_draining", state.is_draining()},
      {"table_version", state.table == nullptr ? 0 : state.table->version},
      {"table_age_ms", state.table_feed->age(now).count() / 1000},
      {"targets_revision", state.targets_feed->newest_revision()},
      {"targets_age_ms", state.targets_feed->age(now).count() / 1000},
      {"open", state.open.size()},
      {"waiting", state.waiting.size()}};
  for (const auto& [id, view] : state.targets.by_id) {
    dump["targets"][id] = {{"service", view.target.service},
                           {"address", Format(view.target.address)},
                           {"is_leaving", view.target.is_leaving},
                           {"open", view.open},
                           {"open_elsewhere", view.open_elsewhere},
                           {"failures", gateway::FailureScore(view, now)},
                           {"group", gateway::GroupOf(view)}};
    const nlohmann::json asked = state.signals->Dump(id);
    if (!asked.is_null()) {
      dump["targets"][id]["signals"] = asked;
    }
    if (view.rank) {
      dump["targets"][id]["rank"] = {
          {"agent_ip", view.rank->agent_ip},
          {"epoch", view.rank->epoch},
          {"heard_ms", (now - view.rank->received_at).count() / 1000},
          {"rank", view.rank->rank}};
    }
  }
  for (const auto& [zone, evacuated] : state.targets.evacuated.by_name) {
    dump["evacuated_zones"][zone] = {
        {"revision", evacuated.revision},
        {"since_ms", (now - evacuated.since).count() / 1000}};
  }
  const nlohmann::json repeats = state.repeats->Dump();
  if (!repeats.is_null()) {
    dump["repeats"] = repeats;
  }
  const nlohmann::json parts = state.quarantine->Dump();
  if (!parts.empty()) {
    dump["parts"] = parts;
  }
  for (const auto& [name, group] : state.permits.groups) {
    dump["groups"][name] = {
        {"per_rank", group.streams_per_rank},
        {"usual_pause_ms", group.pause_quantile.count() / 1000}};
  }
  for (const auto& [name, availability] : state.availability) {
    dump["services"][name] = {
        {"is_unavailable", gateway::is_unavailable(availability, now)},
        {"groups", gateway::Describe(availability)}};
  }
  for (const auto& [name, known] : state.members.known) {
    dump["members"][name] = {
        {"ip", known.member.ip},
        {"is_ready", known.member.is_ready},
        {"is_leaving", known.member.is_leaving},
        {"table_version", known.member.table_version},
        {"age_ms", (now - known.received_at).count() / 1000}};
  }
  return dump;
}

}  // namespace bramleyspan::gatewayd
