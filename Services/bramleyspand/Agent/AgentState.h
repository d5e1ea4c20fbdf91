// State of an agent process; its parts are free functions on it.
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
#include "LibLimits/Backoff.h"
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
  // Calls that wait for a slot of the back end, by forward id.
  std::map<uint64_t, wire::CallT> waiting;
  std::set<std::shared_ptr<wire::Connection>> connections;
  // Connections by their ids, which identify the recipients of answers.
  std::map<uint64_t, std::weak_ptr<wire::Connection>> callers;
  // Exchanges with the back end, by forward id.
  std::map<uint64_t, std::shared_ptr<http::ClientCall>> exchanges;
  // The time for which the back end wants no calls.
  limits::Backoff backoff;
  bool is_leaving = false;
};

// Ends calls whose deadline has passed; repeats itself (Calls.cc).
void CheckDeadlinesPeriodically(AgentState& state);

// Aborts all running calls when the drain bound is reached (Calls.cc).
void AbortAllCalls(AgentState& state);

// Sends the closing record of the claim keys to all entries (Calls.cc). The
// agent must be leaving and no call may be running.
void SendClosingRecord(AgentState& state);

// Handles a frame of an entry (Calls.cc).
void HandleEntryFrame(AgentState& state,
                      wire::Connection& connection,
                      const wire::FrameT& frame);

// Handles the end of an entry's connection (Calls.cc).
void HandleLostEntry(AgentState& state, const wire::Connection& connection);

}  // namespace bramleyspan::agent
