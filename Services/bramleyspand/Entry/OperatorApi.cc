#include <nlohmann/json.hpp>

#include "LibCatalogue/Document.h"
#include "Services/bramleyspand/Entry/EntryState.h"
#include "Services/bramleyspand/OperatorKey.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr std::string_view kCataloguePath = "/v1/operator/catalogue";

int64_t MillisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Returns for how long a state has lasted, as seen by this process.
int64_t AgeOf(TimePoint since) {
  return MillisecondsOf(EventLoop::Now() - since);
}

json MakeRow(const EntryState& state,
             const std::string& name,
             const Link& link) {
  json row = {{"process", name},
              {"role", link.role},
              {"zone", link.zone},
              {"revision", link.in_force.revision},
              {"change", link.in_force.id},
              {"in_force_for_ms", AgeOf(link.in_force_since)},
              {"is_leaving", link.is_leaving},
              {"is_linked", link.connection->is_open()}};
  if (link.in_force == state.feed.newest_change()) {
    row["came_after_ms"] =
        MillisecondsOf(link.in_force_since - state.feed.in_force_since);
  }
  return row;
}

json MakeOwnRow(const EntryState& state) {
  return {{"process", state.settings.name},
          {"role", "entry"},
          {"zone", state.settings.zone},
          {"revision", state.feed.revision()},
          {"change", state.feed.newest_change().id},
          {"in_force_for_ms", AgeOf(state.feed.in_force_since)},
          {"came_after_ms", 0},
          {"is_leaving", state.is_leaving},
          {"is_linked", true}};
}

json AlarmsOf(const EntryState& state) {
  json alarms = json::array();
  for (const auto& [alarm, raised] : state.feed.alarms) {
    alarms.push_back({{"alarm", NameOf(alarm)},
                      {"process", state.settings.name},
                      {"for_ms", AgeOf(raised.since)},
                      {"detail", raised.detail}});
  }
  return alarms;
}

json StatusOf(const EntryState& state) {
  json rows = json::array({MakeOwnRow(state)});
  for (const auto& [name, link] : state.links) {
    rows.push_back(MakeRow(state, name, link));
  }
  return {{"revision", state.feed.revision()},
          {"change", state.feed.newest_change().id},
          {"processes", rows},
          {"alarms", AlarmsOf(state)}};
}

json ListChanges(const std::vector<catalogue::AcceptedChange>& changes) {
  json list = json::array();
  for (const catalogue::AcceptedChange& change : changes) {
    list.push_back({{"id", change.id}, {"revision", change.revision}});
  }
  return list;
}

json CatalogueOf(const EntryState& state) {
  return {{"revision", state.feed.revision()},
          {"catalogue",
           json::parse(catalogue::SerializeJson(state.feed.current()))}};
}

json HistoryOf(const EntryState& state) {
  return {{"changes", ListChanges(state.feed.head().changes)},
          {"abandoned", ListChanges(state.feed.head().abandoned)}};
}

json DumpOf(const EntryState& state) {
  json calls = json::array();
  for (const auto& [id, call] : state.calls) {
    calls.push_back({{"request", call.call.request},
                     {"catalogue_entry", call.call.catalogue_entry},
                     {"target", call.target},
                     {"has_head", call.attempt.has_head}});
  }
  json vms = json::array();
  for (const platform::Vm& vm : state.vms) {
    vms.push_back(
        {{"name", vm.name},
         {"ip", vm.ip},
         {"state", vm.state == platform::VmState::kLive ? "live" : "leaving"}});
  }
  json dump = StatusOf(state);
  dump["process"] = state.settings.name;
  dump["calls"] = calls;
  dump["vms"] = vms;
  dump["is_ready"] = state.is_ready;
  dump["store_watch"] = {{"index", state.store_watch.index},
                         {"failures", state.store_watch.failures},
                         {"is_call_open", state.store_watch.is_call_open}};
  dump["key_value_calls"] = state.key_value.calls;
  return dump;
}

void RouteOperatorRequest(EntryState& state,
                          const http::Request& request,
                          const ExchangePointer& exchange) {
  const std::string path(request.path);
  const bool is_post = request.method == "POST";
  if (path == kCataloguePath && !is_post) {
    exchange->Respond(JsonResponse(200, CatalogueOf(state)));
  } else if (path == std::string(kCataloguePath) + "/history") {
    exchange->Respond(JsonResponse(200, HistoryOf(state)));
  } else if (path == std::string(kCataloguePath) + "/changes" && is_post) {
    HandleChange(state, request, exchange);
  } else if (path == std::string(kCataloguePath) + "/restore" && is_post) {
    HandleRestore(state, request, exchange);
  } else if (path == "/v1/operator/status") {
    exchange->Respond(JsonResponse(200, StatusOf(state)));
  } else if (path == "/v1/operator/dump") {
    exchange->Respond(JsonResponse(200, DumpOf(state)));
  } else {
    exchange->Respond(
        ToResponse({.error = {ErrorCode::kNotFound, path, "no such path"}}));
  }
}

}  // namespace

void HandleOperatorRequest(EntryState& state,
                           const http::Request& request,
                           const ExchangePointer& exchange) {
  if (!is_from_operator(state.settings, request)) {
    exchange->Respond(ToResponse({.error = {ErrorCode::kUnauthenticated,
                                            "operator", "show a valid key"}}));
    return;
  }
  RouteOperatorRequest(state, request, exchange);
}

}  // namespace bramleyspan::entry
