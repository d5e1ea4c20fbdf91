// Stand-in for the users' platform: its store, a group of model servers and the
// servers of two plain services, all in one process, which counts every run.
// Its control address changes the platform's state and returns the counts:
//
// - PUT /config: the body becomes the desired state in the store.
// - PUT /server?id=&state=&zone=: sets a server to ready, draining or gone, and
//   its zone if one is given (a at the start). With &service=&address= it is a
//   server of another program.
// - PUT /evacuate?zone=&state=: the operator evacuates a zone (on) or restores
//   it (off).
// - PUT /store?mode=: serving, down, silent, losing (see StoreMode) or late;
//   forget drops the history of changes.
// - PUT /door?mode=: serving, refusing or silent, for the store's second
//   address alone, so that a test can cut off one process.
// - PUT /orders?lose=KIND: from now on orders of this kind are lost (arm: at
//   the last rank only); none ends it.
// - PUT /group?state=: the group reports this state, open or broken, and runs
//   on nevertheless.
// - PUT /work?ms=: plain requests that arrive from now on take so long.
// - PUT /passes?pause_ms=: the group begins no pass for so long.
// - PUT /freeze?rank=&at=: the server of this rank, counted from 0, freezes at
//   its next stream (stream) or at the next hold of the group (hold).
// - PUT /freeze?rank=&agent=: the process with this number, the rank's agent,
//   is stopped by the next hold of the group; its server runs on.
// - PUT /cut: cuts all streams that run at the ranks, once; ranks stay up.
// - PUT /signals?id=&limit=&fails=: from now on the answers of a server name
//   this limit, or have this status.
// - GET /arrivals?id=&span_ms=&after_ms=: the most requests that reached a
//   server in a span that begins so long after its signals changed.
// - PUT /crashes?part=&body=&delay_ms=&down_ms=&renames=&answers=: from now on
//   a server ends that begins to answer a request with this part in its prompt,
//   or with a body that begins so, and is back after down_ms; with renames=1
//   under a new id. With answers=1 streams go on until their server ends.
//   GET /crashes?after_ms=: the number of ends, and of such requests that
//   reached servers later than after_ms past the fifth end; and by body the
//   ends, the arrivals and those later than that past the third end.
// - GET /status: runs by attempt and by server, splits and switches of the
//   group, and its held and armed ranks.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "StandIns/UsersPlatform/Ranks.h"
#include "StandIns/UsersPlatform/RawServer.h"
#include "StandIns/UsersPlatform/RequestLog.h"

ABSL_FLAG(std::string, net, "127.0", "first two numbers of all addresses");
ABSL_FLAG(int, ranks, 2, "ranks of the group");
ABSL_FLAG(int, plain_servers, 2, "servers of the service billing");
ABSL_FLAG(int,
          pass_milliseconds,
          40,
          "duration of a pass, in which each stream sends one event");
ABSL_FLAG(int, work_milliseconds, 50, "duration of a plain request");
ABSL_FLAG(int, answer_bytes, 0, "bytes that are added to plain answers");
ABSL_FLAG(int,
          long_answer_bytes,
          0,
          "bytes that are added to plain answers whose path ends in /long");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;

struct PlainServer {
  std::string id;
  std::string service;
  std::string address;
};

struct Platform {
  EventLoop loop;
  UsersStore store;
  // Mode of the store's second address: serving, refusing or silent.
  std::string second_address_mode = "serving";
  StandInGroup group;
  std::vector<PlainServer> plain;
  // Servers that other programs run.
  std::vector<PlainServer> others;
  std::map<std::string, uint64_t> runs;
  std::map<std::string, uint64_t> runs_by_server;
  // Zones by server; a if not listed.
  std::map<std::string, std::string> zones;
  Signals signals;
  Crashes crashes;
  // Duration of a plain request.
  Duration work =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_work_milliseconds));
  // By address.
  std::map<std::string, std::unique_ptr<http::Ingress>> listeners;
  std::unique_ptr<RawServer> raw;
};

std::string WriteServer(const std::string& service,
                        const std::string& address,
                        const std::string& state,
                        const std::string& zone = "a") {
  return json{{"service", service}, {"address", address},
              {"zone", zone},       {"version", 1},
              {"slots", 8},         {"state", state},
              {"cold_left_ms", 0},  {"seq", 1}}
      .dump();
}

void SetServer(Platform& platform,
               const std::string& id,
               const std::string& state) {
  std::string service = "chat";
  std::string address;
  for (const StandInRank& rank : platform.group.ranks) {
    address = rank.id == id ? rank.address : address;
  }
  for (const auto* servers : {&platform.plain, &platform.others}) {
    for (const PlainServer& server : *servers) {
      if (server.id == id) {
        service = server.service;
        address = server.address;
      }
    }
  }
  if (state == "gone") {
    Remove(platform.store, "servers/" + id);
  } else {
    const auto zone = platform.zones.try_emplace(id, "a").first->second;
    Put(platform.store, "servers/" + id,
        WriteServer(service, address, state, zone));
  }
}

// Ends a server: its connections close, and none is accepted until it is back.
void StopServer(Platform& platform,
                std::string& id,
                const std::string& address,
                const std::string& body,
                std::function<void()> on_return) {
  RecordCrash(platform.crashes, body);
  const auto stopped = platform.listeners.extract(address);
  platform.loop.RunAfter(
      platform.crashes.down,
      [&platform, &id, on_return = std::move(on_return)] {
        if (platform.crashes.renames) {
          SetServer(platform, id, "gone");
          id.append("-").append(std::to_string(platform.crashes.ends.size()));
          SetServer(platform, id, "ready");
        }
        on_return();
      });
}

void HandlePlain(Platform& platform,
                 PlainServer& server,
                 const http::IngressRequest& request,
                 const ExchangePointer& exchange);
bool Listen(Platform& platform,
            const std::string& address,
            http::IngressHandler handler);

bool ListenAsPlain(Platform& platform, PlainServer& server) {
  return Listen(
      platform, server.address,
      [&platform, &server](const auto& request, const auto& exchange) {
        HandlePlain(platform, server, request, exchange);
      });
}

bool ListenAsRank(Platform& platform, StandInRank& rank) {
  return Listen(platform, rank.address,
                [&platform, &rank](const auto& request, const auto& exchange) {
                  HandleRankCall(platform.group, rank, request, exchange);
                });
}

void StopPlainServer(Platform& platform,
                     PlainServer& server,
                     const std::string& body) {
  if (platform.listeners.contains(server.address)) {
    StopServer(platform, server.id, server.address, body,
               [&platform, &server] { ListenAsPlain(platform, server); });
  }
}

void StopRank(Platform& platform, StandInRank& rank, const std::string& body) {
  BreakGroup(platform.group, rank);
  StopServer(platform, rank.id, rank.address, body, [&platform, &rank] {
    ListenAsRank(platform, rank);
    ReturnRank(platform.group, rank);
  });
}

void HandlePlain(Platform& platform,
                 PlainServer& server,
                 const http::IngressRequest& request,
                 const ExchangePointer& exchange) {
  const std::string expected(
      http::FindHeader(request.headers, "x-expect-instance"));
  const std::string attempt(http::FindHeader(request.headers, "x-attempt-id"));
  ServerSignals& signals = platform.signals[server.id];
  if (expected != server.id) {
    LogRejected(server.id, attempt, 421);
    exchange->Respond(421, {{"x-not-executed", "1"}}, "");
    return;
  }
  const bool ends_server = is_killing(platform.crashes, request);
  if (ends_server) {
    RecordKillingArrival(platform.crashes, request);
  }
  if (RecordArrival(signals, *exchange)) {
    return;
  }
  ++platform.runs[attempt];
  ++platform.runs_by_server[server.id];
  LogBegun(server.id, request);
  if (ends_server) {
    platform.loop.RunAfter(platform.crashes.delay,
                           [&platform, &server, body = request.body] {
                             StopPlainServer(platform, server, body);
                           });
    return;
  }
  const std::string tenant(http::FindHeader(request.headers, "x-tenant"));
  platform.loop.RunAfter(
      platform.work, [exchange, attempt, tenant, &signals,
                      service = server.service, id = server.id,
                      added = absl::GetFlag(request.path.ends_with("/long")
                                                ? FLAGS_long_answer_bytes
                                                : FLAGS_answer_bytes)] {
        LogEnded(id, attempt, exchange->is_closed() ? "left" : "whole");
        http::HeaderList headers = SignalHeaders(signals);
        headers.emplace_back("x-attempt-id", attempt);
        headers.emplace_back("x-server-stamp", "stamp-" + attempt);
        const int failure = signals.failure_status;
        exchange->Respond(failure != 0 ? failure : 200, headers,
                          service + " " + attempt + " " + tenant +
                              std::string(static_cast<size_t>(added), 'x'));
      });
}

void SetStore(UsersStore& store, const std::string& mode) {
  if (mode == "forget") {
    DropHistory(store);
    return;
  }
  store.mode = mode == "down"     ? StoreMode::kDown
               : mode == "silent" ? StoreMode::kUnresponsive
               : mode == "losing" ? StoreMode::kLosingAnswers
               : mode == "late"   ? StoreMode::kLateWrites
                                  : StoreMode::kServing;
}

Duration MillisecondsIn(const std::string& query, std::string_view name) {
  return std::chrono::milliseconds(
      std::stoll(http::FindQueryValue(query, name)));
}

void HandleSignals(Platform& platform,
                   const http::IngressRequest& request,
                   const ExchangePointer& exchange) {
  ServerSignals& server =
      platform.signals[http::FindQueryValue(request.query, "id")];
  if (request.path == "/signals") {
    server.limit = http::FindQueryValue(request.query, "limit");
    server.backoff = http::FindQueryValue(request.query, "backoff");
    server.is_leaving = !http::FindQueryValue(request.query, "leaving").empty();
    const std::string failure = http::FindQueryValue(request.query, "fails");
    server.failure_status = failure.empty() ? 0 : std::stoi(failure);
    server.changed_at = EventLoop::Now();
    exchange->Respond(200, {}, "");
    return;
  }
  const size_t arrivals =
      CountArrivals(server, MillisecondsIn(request.query, "span_ms"),
                    MillisecondsIn(request.query, "after_ms"));
  exchange->Respond(200, {}, std::to_string(arrivals) + "\n");
}

void HandleCrashes(Platform& platform,
                   const http::IngressRequest& request,
                   const ExchangePointer& exchange) {
  Crashes& crashes = platform.crashes;
  if (request.method == "PUT") {
    crashes.part = http::FindQueryValue(request.query, "part");
    crashes.body = http::FindQueryValue(request.query, "body");
    crashes.answers = !http::FindQueryValue(request.query, "answers").empty();
    crashes.delay = MillisecondsIn(request.query, "delay_ms");
    crashes.down = MillisecondsIn(request.query, "down_ms");
    crashes.renames = !http::FindQueryValue(request.query, "renames").empty();
    exchange->Respond(200, {}, "");
    return;
  }
  const Duration after = MillisecondsIn(request.query, "after_ms");
  json requests = json::object();
  for (const auto& [body, killing] : crashes.requests) {
    requests[body] = {{"ends_of_request", killing.ends.size()},
                      {"arrivals_of_request", killing.arrivals.size()},
                      {"late_of_request", CountLateArrivals(killing, after)}};
  }
  const json counts = {{"ends", crashes.ends.size()},
                       {"arrivals", crashes.arrivals.size()},
                       {"late", CountLateArrivals(crashes, after)},
                       {"requests", requests}};
  exchange->Respond(200, {}, counts.dump() + "\n");
}

void HandleControl(Platform& platform,
                   const http::IngressRequest& request,
                   const ExchangePointer& exchange) {
  if (request.path == "/signals" || request.path == "/arrivals") {
    HandleSignals(platform, request, exchange);
    return;
  }
  if (request.path == "/crashes") {
    HandleCrashes(platform, request, exchange);
    return;
  }
  if (request.path == "/config") {
    Put(platform.store, "op/config", request.body);
  } else if (request.path == "/evacuate") {
    const std::string key =
        "op/evacuate/" + http::FindQueryValue(request.query, "zone");
    if (http::FindQueryValue(request.query, "state") == "on") {
      Put(platform.store, key, "{}");
    } else {
      Remove(platform.store, key);
    }
  } else if (request.path == "/server") {
    const std::string zone = http::FindQueryValue(request.query, "zone");
    if (!zone.empty()) {
      platform.zones[http::FindQueryValue(request.query, "id")] = zone;
    }
    const std::string address = http::FindQueryValue(request.query, "address");
    if (!address.empty()) {
      platform.others.push_back({http::FindQueryValue(request.query, "id"),
                                 http::FindQueryValue(request.query, "service"),
                                 address});
    }
    SetServer(platform, http::FindQueryValue(request.query, "id"),
              http::FindQueryValue(request.query, "state"));
  } else if (request.path == "/store") {
    SetStore(platform.store, http::FindQueryValue(request.query, "mode"));
  }
  if (request.path == "/door") {
    platform.second_address_mode = http::FindQueryValue(request.query, "mode");
  }
  if (request.path == "/orders") {
    platform.group.lost_order = http::FindQueryValue(request.query, "lose");
  }
  if (request.path == "/freeze") {
    const size_t number =
        std::stoul(http::FindQueryValue(request.query, "rank"));
    StandInRank& rank = platform.group.ranks.at(number);
    rank.freezes_at = http::FindQueryValue(request.query, "at");
    const std::string agent = http::FindQueryValue(request.query, "agent");
    rank.stops_at_hold = agent.empty() ? 0 : std::stoi(agent);
  }
  if (request.path == "/work") {
    platform.work = MillisecondsIn(request.query, "ms");
  }
  if (request.path == "/passes") {
    platform.group.paused_until =
        EventLoop::Now() + MillisecondsIn(request.query, "pause_ms");
  }
  if (request.path == "/cut") {
    CutStreams(platform.group);
  }
  if (request.path == "/group") {
    platform.group.state = http::FindQueryValue(request.query, "state");
  }
  const auto& ranks = platform.group.ranks;
  const auto held =
      std::count_if(ranks.begin(), ranks.end(),
                    [](const StandInRank& rank) { return rank.held != 0; });
  const auto armed =
      std::count_if(ranks.begin(), ranks.end(),
                    [](const StandInRank& rank) { return rank.armed != 0; });
  const auto frozen =
      std::count_if(ranks.begin(), ranks.end(),
                    [](const StandInRank& rank) { return rank.is_frozen; });
  const auto behind_owner = std::count_if(
      ranks.begin() + 1, ranks.end(),
      [&](const auto& rank) { return rank.prepared < ranks.front().prepared; });
  const json status = {{"runs", platform.runs},
                       {"behind_owner", behind_owner},
                       {"runs_at", platform.runs_by_server},
                       {"splits", platform.group.splits},
                       {"switches", platform.group.switches},
                       {"held", held},
                       {"frozen", frozen},
                       {"armed", armed},
                       {"step", platform.group.step}};
  exchange->Respond(200, {{"content-type", "application/json"}},
                    status.dump() + "\n");
}

bool Listen(Platform& platform,
            const std::string& address,
            http::IngressHandler handler) {
  auto guarded = [handler = std::move(handler)](
                     const http::IngressRequest& request,
                     const ExchangePointer& exchange) {
    try {
      handler(request, exchange);
    } catch (const std::exception& failure) {
      exchange->Respond(400, {}, failure.what());
    }
  };
  auto listener = http::Ingress::Listen(
      platform.loop, ParseAddress(address).value(), {}, std::move(guarded));
  if (listener.has_error()) {
    std::cerr << Describe(listener.error()) << "\n";
    return false;
  }
  platform.listeners[address] = std::move(listener).assume_value();
  return true;
}

void HandleSecondAddress(Platform& platform,
                         const http::IngressRequest& request,
                         const ExchangePointer& exchange) {
  if (platform.second_address_mode == "refusing") {
    exchange->Respond(503, {}, "{}");
  } else if (platform.second_address_mode == "serving") {
    HandleStoreCall(platform.store, request, exchange);
  }
}

bool ListenAll(Platform& platform, const std::string& net) {
  auto raw = RawServer::Listen(platform.loop,
                               ParseAddress(net + ".3.250:8000").value());
  if (raw.has_error()) {
    std::cerr << Describe(raw.error()) << "\n";
    return false;
  }
  platform.raw = std::move(raw).assume_value();
  bool is_listening =
      Listen(platform, net + ".0.20:7002",
             [&platform](const auto& request, const auto& exchange) {
               HandleSecondAddress(platform, request, exchange);
             }) &&
      Listen(platform, net + ".0.20:7000",
             [&platform](const auto& request, const auto& exchange) {
               HandleStoreCall(platform.store, request, exchange);
             }) &&
      Listen(platform, net + ".0.20:7001",
             [&platform](const auto& request, const auto& exchange) {
               HandleControl(platform, request, exchange);
             });
  for (StandInRank& rank : platform.group.ranks) {
    is_listening = is_listening && ListenAsRank(platform, rank);
  }
  for (PlainServer& server : platform.plain) {
    is_listening = is_listening && ListenAsPlain(platform, server);
  }
  return is_listening;
}

void AdvanceStoreRepeatedly(Platform& platform) {
  constexpr Duration kInterval = std::chrono::milliseconds(20);
  Advance(platform.store, EventLoop::Now());
  platform.loop.RunAfter(kInterval,
                         [&platform] { AdvanceStoreRepeatedly(platform); });
}

void BeginPassesRepeatedly(Platform& platform) {
  EndRanksUnderStreams(platform.group);
  BeginPass(platform.group);
  platform.loop.RunAfter(
      std::chrono::milliseconds(absl::GetFlag(FLAGS_pass_milliseconds)),
      [&platform] { BeginPassesRepeatedly(platform); });
}

int Run() {
  const std::string net = absl::GetFlag(FLAGS_net);
  Platform platform;
  std::vector<std::string> ranks;
  for (int rank = 1; rank <= absl::GetFlag(FLAGS_ranks); ++rank) {
    ranks.push_back(net + ".2." + std::to_string(rank) + ":8000");
  }
  platform.group = MakeGroup(ranks);
  platform.group.runs = &platform.runs;
  platform.group.signals = &platform.signals;
  platform.group.crashes = &platform.crashes;
  platform.group.stop_rank = [&platform](StandInRank& rank,
                                         const std::string& body) {
    StopRank(platform, rank, body);
  };
  const int plain_servers = absl::GetFlag(FLAGS_plain_servers);
  for (int number = 1; number <= plain_servers; ++number) {
    platform.plain.push_back({"plain-" + std::to_string(number), "billing",
                              net + ".3." + std::to_string(number) + ":8000"});
  }
  platform.plain.push_back(
      {"other-1", "archive",
       net + ".3." + std::to_string(plain_servers + 1) + ":8000"});
  if (!ListenAll(platform, net)) {
    return 1;
  }
  for (const StandInRank& rank : platform.group.ranks) {
    SetServer(platform, rank.id, "ready");
  }
  for (const PlainServer& server : platform.plain) {
    SetServer(platform, server.id, "ready");
  }
  Put(platform.store, "servers/raw-1",
      WriteServer("raw", net + ".3.250:8000", "ready"));
  AdvanceStoreRepeatedly(platform);
  BeginPassesRepeatedly(platform);
  platform.loop.OnStopSignal([&platform] { platform.loop.Stop(); });
  platform.loop.Run();
  return 0;
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int count, char** arguments) {
  absl::ParseCommandLine(count, arguments);
  return bramleyspan::standins::Run();
}
