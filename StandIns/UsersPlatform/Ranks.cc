#include "StandIns/UsersPlatform/Ranks.h"

#include <csignal>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "StandIns/UsersPlatform/RequestLog.h"

namespace bramleyspan::standins {

namespace {

using nlohmann::json;

constexpr Duration kCopyTime = std::chrono::milliseconds(60);
constexpr uint64_t kEventsOfStream = 20;
// A stream under which ranks end is longer than any rank lives under it.
constexpr uint64_t kEventsOfKillingStream = 1000;
// Time after which the other ranks cut their streams when a rank has ended, and
// time that a group takes to open once all ranks are back.
constexpr Duration kStall = std::chrono::milliseconds(500);
constexpr Duration kFormTime = std::chrono::milliseconds(300);
// How often one stream chooses an expert in one pass: the first expert of each
// set, and each other one.
constexpr uint64_t kHotChoices = 200;
constexpr uint64_t kOtherChoices = 20;

void RespondJson(const ExchangePointer& exchange,
                 int status,
                 const json& body) {
  exchange->Respond(status, {{"content-type", "application/json"}},
                    body.dump());
}

size_t IndexOf(const StandInGroup& group, const StandInRank& rank) {
  return static_cast<size_t>(&rank - group.ranks.data());
}

bool is_prepared(const StandInRank& rank) {
  return rank.prepared != 0 && EventLoop::Now() >= rank.copied_at;
}

json Report(const StandInGroup& group, const StandInRank& rank) {
  const auto running = std::ranges::count_if(
      rank.streams, [](const auto& item) { return item.second.is_running; });
  json report = {{"stage", "both"},
                 {"busy", false},
                 {"seq", rank.sequence},
                 {"queued", rank.streams.size() - static_cast<size_t>(running)},
                 {"running", running},
                 {"pace", 1.0},
                 {"group",
                  {{"name", "g"},
                   {"epoch", group.epoch},
                   {"rank", IndexOf(group, rank)},
                   {"state", group.state},
                   {"size", group.ranks.size()}}},
                 {"step", group.step},
                 {"map", rank.map_version}};
  report["prepared"] = is_prepared(rank) ? rank.prepared : 0;
  report["armed"] = {{"version", rank.armed}, {"step", rank.armed_step}};
  report["held"] = rank.held;
  return report;
}

void AnswerPicked(const StandInGroup& group,
                  const StandInRank& rank,
                  bool wants_lists,
                  const ExchangePointer& exchange) {
  if (!wants_lists) {
    RespondJson(exchange, 200,
                {{"step", group.step},
                 {"epoch", group.epoch},
                 {"counts", rank.counts}});
    return;
  }
  json experts = json::array();
  for (const auto& set : rank.map) {
    experts.push_back(set[IndexOf(group, rank)]);
  }
  RespondJson(exchange, 200,
              {{"map", {{"version", rank.map_version}, {"experts", experts}}}});
}

// Prepare, Arm, Hold and Go apply an order to the rank's state. Each returns
// the status of its answer: 200 or 202 if accepted, 409 if the state forbids
// it.
int Prepare(StandInRank& rank, const json& order) {
  const uint64_t version = order.at("version").get<uint64_t>();
  if (version == rank.prepared) {
    return 200;
  }
  if (version <= rank.newest || rank.armed != 0) {
    return 409;
  }
  rank.newest = rank.prepared = version;
  rank.prepared_map = order.at("map").get<MapLists>();
  rank.copied_at = EventLoop::Now() + kCopyTime;
  return 202;
}

int Arm(const StandInGroup& group, StandInRank& rank, const json& order) {
  const uint64_t version = order.at("version").get<uint64_t>();
  const uint64_t step = order.at("step").get<uint64_t>();
  if (version != rank.prepared || !is_prepared(rank) || step <= group.step) {
    return 409;
  }
  rank.armed = version;
  rank.armed_step = step;
  return 200;
}

int Hold(const StandInGroup& group, StandInRank& rank, const json& order) {
  const uint64_t step = order.at("step").get<uint64_t>();
  if (step <= group.step || (rank.held != 0 && rank.held != step)) {
    return 409;
  }
  rank.held = step;
  return 200;
}

int Go(StandInRank& rank, const json& order) {
  if (rank.held == order.at("step").get<uint64_t>()) {
    rank.held = 0;
  }
  return 200;
}

void StopAgentsAtHold(StandInGroup& group) {
  for (StandInRank& rank : group.ranks) {
    const int process = std::exchange(rank.stops_at_hold, 0);
    if (process != 0) {
      kill(process, SIGSTOP);
    }
  }
}

int ExecuteOrder(StandInGroup& group, StandInRank& rank, const json& order) {
  if (order.value("epoch", group.epoch) != group.epoch) {
    return 409;
  }
  const std::string operation = order.at("op").get<std::string>();
  if (operation == "prepare") {
    return Prepare(rank, order);
  }
  if (operation == "arm") {
    return Arm(group, rank, order);
  }
  if (operation == "hold") {
    const int status = Hold(group, rank, order);
    FreezeAt(group, "hold");
    StopAgentsAtHold(group);
    return status;
  }
  return operation == "go" ? Go(rank, order) : 400;
}

MapLists MakeFirstMap(size_t ranks) {
  MapLists map(kSets, std::vector<std::vector<uint16_t>>(ranks));
  for (auto& set : map) {
    for (uint16_t expert = 0; expert < kExperts; ++expert) {
      set[expert % ranks].push_back(expert);
    }
  }
  return map;
}

bool is_broken(const StandInGroup& group) {
  return group.broken_at != TimePoint{};
}

// Cuts the streams of a broken group, and opens it when all ranks are back.
void AdvanceBrokenGroup(StandInGroup& group, const MapLists& first_map) {
  const TimePoint now = EventLoop::Now();
  if (now - group.broken_at > kStall) {
    CutStreams(group);
  }
  const bool is_any_down = std::ranges::any_of(
      group.ranks, [](const StandInRank& rank) { return rank.is_down; });
  if (is_any_down || now < group.opens_at) {
    return;
  }
  group.broken_at = {};
  group.state = "open";
  ++group.epoch;
  for (StandInRank& rank : group.ranks) {
    rank.map = first_map;
    rank.map_version = rank.prepared = rank.newest = 0;
    rank.armed = rank.armed_step = rank.held = 0;
  }
}

void StartStream(StandInGroup& group,
                 StandInRank& rank,
                 const http::IngressRequest& request,
                 const ExchangePointer& exchange) {
  const std::string expected(
      http::FindHeader(request.headers, "x-expect-instance"));
  const std::string attempt(http::FindHeader(request.headers, "x-attempt-id"));
  if (expected != rank.id) {
    LogRejected(rank.id, attempt, 421);
    exchange->Respond(421, {{"x-not-executed", "1"}}, "");
    return;
  }
  ServerSignals& signals = (*group.signals)[rank.id];
  const bool ends_rank = is_killing(*group.crashes, request);
  if (ends_rank) {
    RecordKillingArrival(*group.crashes, request);
  }
  if (RecordArrival(signals, *exchange)) {
    return;
  }
  if (is_broken(group)) {
    LogRejected(rank.id, attempt, 503);
    exchange->Respond(503, {{"x-not-executed", "1"}}, "");
    return;
  }
  ++(*group.runs)[attempt];
  LogBegun(rank.id, request);
  http::HeaderList headers = SignalHeaders(signals);
  headers.emplace_back("x-attempt-id", attempt);
  headers.emplace_back("x-server-stamp", "stamp-" + attempt);
  if (signals.failure_status != 0) {
    exchange->Respond(signals.failure_status, headers, "failed " + attempt);
    return;
  }
  RunningStream stream{
      .exchange = exchange, .attempt = attempt, .body = request.body};
  if (ends_rank) {
    stream.ends_rank_at = EventLoop::Now() + group.crashes->delay;
  }
  const std::string resumed(http::FindHeader(request.headers, "last-event-id"));
  if (!resumed.empty()) {
    stream.next_event = std::stoull(resumed) + 1;
  }
  stream.last_event = ends_rank ? kEventsOfKillingStream : kEventsOfStream;
  headers.emplace_back("content-type", "text/event-stream");
  exchange->StartStream(200, headers);
  const uint64_t number = ++group.last_stream;
  exchange->OnDisconnect([&rank, number, attempt] {
    LogEnded(rank.id, attempt, "left");
    rank.streams.erase(number);
  });
  rank.streams.emplace(number, std::move(stream));
}

void Advance(StandInRank& rank, bool is_answering_until_end) {
  if (rank.is_frozen) {
    return;
  }
  for (auto found = rank.streams.begin(); found != rank.streams.end();) {
    RunningStream& stream = found->second;
    stream.is_running = true;
    if (stream.ends_rank_at && !is_answering_until_end) {
      ++found;
      continue;
    }
    const std::string id = std::to_string(stream.next_event);
    std::string event = "id: ";
    event.append(id).append("\ndata: ").append(stream.attempt);
    event.append("#").append(id).append("\n\n");
    stream.exchange->Write(event);
    if (stream.next_event++ < stream.last_event) {
      ++found;
      continue;
    }
    LogEnded(rank.id, stream.attempt, "whole");
    stream.exchange->Finish();
    found = rank.streams.erase(found);
  }
}

void CountChoices(StandInRank& rank) {
  for (size_t i = 0; i < rank.counts.size(); ++i) {
    rank.counts[i] +=
        rank.streams.size() * (i % kExperts == 0 ? kHotChoices : kOtherChoices);
  }
}

}  // namespace

StandInGroup MakeGroup(const std::vector<std::string>& addresses) {
  StandInGroup group;
  const MapLists map = MakeFirstMap(addresses.size());
  for (const std::string& address : addresses) {
    group.ranks.push_back({.id = "rank-" + std::to_string(group.ranks.size()),
                           .address = address,
                           .map = map});
  }
  return group;
}

void BreakGroup(StandInGroup& group, StandInRank& rank) {
  rank.is_down = true;
  rank.streams.clear();
  group.state = "broken";
  if (!is_broken(group)) {
    group.broken_at = EventLoop::Now();
  }
}

void ReturnRank(StandInGroup& group, StandInRank& rank) {
  rank.is_down = false;
  group.opens_at = EventLoop::Now() + kFormTime;
}

void CutStreams(StandInGroup& group) {
  for (StandInRank& rank : group.ranks) {
    for (auto& [number, stream] : std::exchange(rank.streams, {})) {
      LogEnded(rank.id, stream.attempt, "cut");
      stream.exchange->Abort();
    }
  }
}

void EndRanksUnderStreams(StandInGroup& group) {
  const TimePoint now = EventLoop::Now();
  for (StandInRank& rank : group.ranks) {
    const auto due =
        std::ranges::find_if(rank.streams, [now](const auto& item) {
          const auto& ends_at = item.second.ends_rank_at;
          return ends_at && now >= *ends_at;
        });
    if (due != rank.streams.end() && !rank.is_down) {
      group.stop_rank(rank, std::string(due->second.body));
    }
  }
}

void BeginPass(StandInGroup& group) {
  if (is_broken(group)) {
    AdvanceBrokenGroup(group, MakeFirstMap(group.ranks.size()));
    return;
  }
  const bool has_work =
      std::any_of(group.ranks.begin(), group.ranks.end(),
                  [](const auto& rank) { return !rank.streams.empty(); });
  const bool is_held = std::any_of(
      group.ranks.begin(), group.ranks.end(),
      [&](const auto& rank) { return rank.held == group.step + 1; });
  if (!has_work || is_held || EventLoop::Now() < group.paused_until) {
    return;
  }
  ++group.step;
  for (StandInRank& rank : group.ranks) {
    if (rank.armed != 0 && rank.armed_step == group.step) {
      rank.map_version = rank.armed;
      rank.map = rank.prepared_map;
      rank.armed = rank.armed_step = rank.prepared = 0;
      ++group.switches;
    }
  }
  const auto& first = group.ranks.front();
  const bool is_split = std::any_of(
      group.ranks.begin(), group.ranks.end(), [&first](const auto& rank) {
        return rank.map_version != first.map_version || rank.map != first.map;
      });
  group.splits += is_split ? 1 : 0;
  for (StandInRank& rank : group.ranks) {
    CountChoices(rank);
    Advance(rank, group.crashes->answers);
  }
}

void FreezeAt(StandInGroup& group, const std::string& event) {
  for (StandInRank& rank : group.ranks) {
    if (rank.freezes_at == event) {
      rank.freezes_at.clear();
      rank.is_frozen = true;
    }
  }
}

void HandleRankCall(StandInGroup& group,
                    StandInRank& rank,
                    const http::IngressRequest& request,
                    const ExchangePointer& exchange) {
  const bool is_stream = request.path != "/report" &&
                         request.path != "/picked" && request.path != "/order";
  if (is_stream && rank.freezes_at == "stream") {
    rank.freezes_at.clear();
    rank.is_frozen = true;
  }
  if (rank.is_frozen) {
    rank.unanswered.push_back(exchange);
    return;
  }
  if (request.path == "/report") {
    RespondJson(exchange, 200, Report(group, rank));
  } else if (request.path == "/picked") {
    const bool wants_lists =
        !http::FindQueryValue(request.query, "lists").empty();
    AnswerPicked(group, rank, wants_lists, exchange);
  } else if (request.path == "/order") {
    const json order = json::parse(request.body);
    const bool is_last = IndexOf(group, rank) + 1 == group.ranks.size();
    if (order.value("op", "") == group.lost_order &&
        (is_last || group.lost_order != "arm")) {
      return;
    }
    RespondJson(exchange, ExecuteOrder(group, rank, order), json::object());
  } else {
    StartStream(group, rank, request, exchange);
  }
}

}  // namespace bramleyspan::standins
