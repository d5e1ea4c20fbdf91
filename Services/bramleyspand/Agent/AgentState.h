// What an agent process holds; its parts are free functions over this.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "LibAdmission/Admission.h"
#include "LibCalls/AgentCalls.h"
#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "Services/bramleyspand/CatalogueFeed.h"
#include "Services/bramleyspand/Link.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::agent {

struct AgentState {
  AgentState(EventLoop& loop, const Settings& settings)
      : loop(loop), settings(settings), client(loop) {}

  EventLoop& loop;
  Settings settings;
  http::Client client;
  CatalogueFeed feed;
  calls::AgentCalls calls;
  admission::Admission admission;
  // The calls that wait for a slot of the back end, by their forwards.
  std::map<uint64_t, wire::CallT> waiting;
  std::set<std::shared_ptr<wire::Connection>> connections;
  // The connections by their ids, as the recipients of answers name them.
  std::map<uint64_t, std::weak_ptr<wire::Connection>> callers;
  // The exchanges with the back end, by the forwards of `calls`.
  std::map<uint64_t, std::shared_ptr<http::ClientCall>> exchanges;
  bool is_leaving = false;
};

// Ends calls that have waited too long, for ever (Calls.cc).
void WatchDeadlines(AgentState& state);

// The bound of the planned stop has come (Calls.cc).
void CutAllCalls(AgentState& state);

// Tells all entries what became of the claim keys (Calls.cc). The agent must be
// leaving and nothing may be running.
void SendClosingRecord(AgentState& state);

// Handles a frame of an entry (Calls.cc).
void HandleEntryFrame(AgentState& state,
                      wire::Connection& connection,
                      const wire::FrameT& frame);

// The entry of this connection is gone (Calls.cc).
void HandleLostEntry(AgentState& state, const wire::Connection& connection);

}  // namespace bramleyspan::agent
