// State of an entry process; its parts are free functions on it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCalls/Retry.h"
#include "LibCatalogue/Readiness.h"
#include "LibClaims/ClosingRecord.h"
#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "LibLimits/RetryBudget.h"
#include "LibPlatform/KeyValueClient.h"
#include "LibPlatform/VmList.h"
#include "LibRouting/Routing.h"
#include "Services/bramleyspand/Answers.h"
#include "Services/bramleyspand/CatalogueFeed.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/Link.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::entry {

// A caller's request from its arrival to the end of its answer.
struct OpenCall {
  std::shared_ptr<http::Exchange> exchange;
  wire::CallT call;
  Duration deadline{};
  // The VM whose agent has the call; empty while no agent has it.
  std::string target;
  // The VMs whose agents had the call before.
  std::set<std::string> tried;
  calls::Attempt attempt{.attempts = 0};
  TimePoint first_byte_deadline;
  TimePoint last_received;
  TimePoint arrived_at = EventLoop::Now();
};

// A round of probes that waits for answers.
struct ProbeRound {
  uint64_t call = 0;
  std::map<uint64_t, routing::Candidate> outstanding;
  std::vector<routing::ProbeAnswer> answers;
  // All candidates. The router excludes no more than a fraction of them after
  // failures.
  std::vector<routing::Candidate> all;
  // The second round of a call: no candidate of the first one answered.
  bool is_second = false;
  TimerId timer = 0;
};

// A request for claim keys that no agent has answered yet.
struct OpenClaimRequest {
  std::shared_ptr<http::Exchange> exchange;
  std::string target;
  wire::ClaimRequestT frame;
  // The VMs whose agents get the request next, last one first.
  std::vector<std::string> candidates;
  TimerId timer = 0;
};

// State of the reads and watches of the catalogue's head; at most one call is
// open.
struct StoreWatch {
  uint64_t index = 0;
  uint32_t failures = 0;
  // A call waits for its answer, or a failed one for its retry.
  bool is_call_open = false;
};

struct EntryState {
  EntryState(EventLoop& loop, const Settings& settings)
      : loop(loop),
        settings(settings),
        holds(MakeHolds(settings, loop)),
        client(loop),
        key_value(client, {.address = settings.key_value_service}) {}

  EventLoop& loop;
  Settings settings;
  // What is held for callers and on links.
  std::shared_ptr<memory::HoldTable> holds;
  http::Client client;
  platform::KeyValueClient key_value;
  CatalogueFeed feed;
  std::vector<platform::Vm> vms;
  LinkMap links;
  std::map<uint64_t, OpenCall> calls;
  // The call of each attempt that an agent has. Attempt ids are never reused,
  // so a late frame of an abandoned attempt matches none.
  std::map<uint64_t, uint64_t> call_of_attempt;
  calls::RetryPolicy retry_policy;
  limits::RetryBudget retry_budget;
  routing::Router router;
  routing::Policy policy = routing::FindPolicy(routing::kDefaultPolicy).value();
  std::map<uint64_t, ProbeRound> rounds;
  std::map<uint64_t, uint64_t> round_of_probe;
  std::map<uint64_t, OpenClaimRequest> claim_requests;
  claims::ClosingRecords closing_records;
  uint64_t last_id = 0;
  bool is_leaving = false;
  // The bound of a planned stop is near: nothing that comes now could end.
  bool is_ending = false;
  StoreWatch store_watch;
  catalogue::Readiness readiness;
  // Whether this process has in force what the store and its peers had when it
  // started.
  bool is_ready = false;
};

// How long a caller may cache the addresses of an answer.
inline constexpr Duration kAddressLifetime = std::chrono::seconds(5);

// Keys of the catalogue in the key-value service.
inline constexpr std::string_view kHeadKey = "bramleyspan/catalogue/head";
inline constexpr std::string_view kShardPrefix = "bramleyspan/catalogue/shard/";

// Links.cc: keeps links to all agents and entries of the VM list.
void StartLinks(EntryState& state);
std::shared_ptr<wire::Connection> AcceptLink(EntryState& state,
                                             h2o_socket_t* socket);
void AnnounceCatalogue(EntryState& state);
void SendInForce(EntryState& state);
void AnnounceLeaving(EntryState& state);

// CatalogueSource.cc: follows the catalogue in the key-value service.
void StartCatalogueSource(EntryState& state);
void RefreshReadiness(EntryState& state);

// CatalogueChanges.cc: commits change sets and restores of the catalogue.
void HandleChange(EntryState& state,
                  const http::Request& request,
                  const std::shared_ptr<http::Exchange>& exchange);
void HandleRestore(EntryState& state,
                   const http::Request& request,
                   const std::shared_ptr<http::Exchange>& exchange);

// Calls.cc: routes callers' requests to agents.
void HandleCallerRequest(EntryState& state,
                         const http::Request& request,
                         const std::shared_ptr<http::Exchange>& exchange);
void HandleAgentFrame(EntryState& state, const wire::FrameT& frame);
void HandleLostAgent(EntryState& state, const std::string& target);
// Ends calls whose agent did not answer in time; repeats itself.
void EndOverdueCalls(EntryState& state);

// Sends the closing records of stopped agents to a peer that has just started;
// without them it would have to answer "unknown" (ClosingRecords.cc).
void SendClosingRecords(const EntryState& state, wire::Connection& connection);

// OperatorApi.cc: answers operators' requests.
void HandleOperatorRequest(EntryState& state,
                           const http::Request& request,
                           const std::shared_ptr<http::Exchange>& exchange);

}  // namespace bramleyspan::entry
