// What an entry process holds; its parts are free functions over this.
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
#include "Services/bramleyspand/Link.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::entry {

// A caller's request between its arrival and the end of its answer.
struct OpenCall {
  std::shared_ptr<http::Exchange> exchange;
  wire::CallT call;
  Duration deadline{};
  // The VM whose agent has the call; empty while it is with none.
  std::string target;
  // The VMs whose agents had the call before.
  std::set<std::string> tried;
  calls::Attempt attempt{.attempts = 0};
  TimePoint first_byte_by;
  TimePoint last_heard;
  TimePoint arrived = EventLoop::Now();
};

// A probe round whose answers are still coming in.
struct ProbeRound {
  uint64_t call = 0;
  std::map<uint64_t, routing::Candidate> outstanding;
  std::vector<routing::ProbeAnswer> answers;
  // All that could answer; no more than a share of them is ever left out.
  std::vector<routing::Candidate> all;
  // No candidate of an earlier round answered.
  bool is_second = false;
  TimerId timer = 0;
};

// A request for claim keys that an agent has not answered yet.
struct OpenClaimRequest {
  std::shared_ptr<http::Exchange> exchange;
  std::string target;
  wire::ClaimRequestT frame;
  // The VMs whose agents are asked next, the last one first.
  std::vector<std::string> candidates;
  TimerId timer = 0;
};

// The reads and watches of the catalogue's head, one call at a time.
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
        client(loop),
        key_value(client, {.address = settings.key_value_service}) {}

  EventLoop& loop;
  Settings settings;
  http::Client client;
  platform::KeyValueClient key_value;
  CatalogueFeed feed;
  std::vector<platform::Vm> vms;
  LinkMap links;
  std::map<uint64_t, OpenCall> calls;
  // The call of each attempt that an agent has. An attempt's id is never used
  // again, so that a late frame of one that was given up finds nothing.
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
  StoreWatch store_watch;
  catalogue::Readiness readiness;
  // Whether this process has in force what others had when it started.
  bool is_ready = false;
};

// How long a caller may keep the addresses that it was told.
inline constexpr Duration kAddressLifetime = std::chrono::seconds(5);

// Where the catalogue lives in the key-value service.
inline constexpr std::string_view kHeadKey = "bramleyspan/catalogue/head";
inline constexpr std::string_view kShardPrefix = "bramleyspan/catalogue/shard/";

// Links (Links.cc): keeps links to all agents and peers of the VM list.
void StartLinks(EntryState& state);
void AcceptLink(EntryState& state, h2o_socket_t* socket);
void AnnounceCatalogue(EntryState& state);
void SendInForce(EntryState& state);
void AnnounceLeaving(EntryState& state);

// The catalogue (CatalogueSource.cc): follows the key-value service.
void StartCatalogueSource(EntryState& state);
void RefreshReadiness(EntryState& state);

// Changes of the catalogue (CatalogueChanges.cc): commits and restores.
void HandleChange(EntryState& state,
                  const http::Request& request,
                  const std::shared_ptr<http::Exchange>& exchange);
void HandleRestore(EntryState& state,
                   const http::Request& request,
                   const std::shared_ptr<http::Exchange>& exchange);

// Calls (Calls.cc): routes callers' requests to agents.
void HandleCallerRequest(EntryState& state,
                         const http::Request& request,
                         const std::shared_ptr<http::Exchange>& exchange);
void HandleAgentFrame(EntryState& state, const wire::FrameT& frame);
void HandleLostAgent(EntryState& state, const std::string& target);
// Ends calls that have waited too long, for ever.
void WatchCalls(EntryState& state);

// The seals of agents that have stopped (ClosingRecords.cc), for a peer that
// has just started and would have to answer "unknown" without them.
void SendClosingRecords(const EntryState& state, wire::Connection& connection);

// Operators (OperatorApi.cc).
void HandleOperatorRequest(EntryState& state,
                           const http::Request& request,
                           const std::shared_ptr<http::Exchange>& exchange);

}  // namespace bramleyspan::entry
