// What an agent process holds; its parts are free functions over this.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "LibClaims/Claims.h"
#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "Services/bramleyspand/CatalogueFeed.h"
#include "Services/bramleyspand/Link.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::agent {

// A call that the back end is working on.
struct ForwardedCall {
  // The entry's connection; empty once the entry has gone.
  std::weak_ptr<wire::Connection> connection;
  wire::CallT call;
  std::shared_ptr<http::ClientCall> client_call;
  claims::StoredAnswer answer;
};

struct AgentState {
  AgentState(EventLoop& loop, const Settings& settings)
      : loop(loop), settings(settings), client(loop) {}

  EventLoop& loop;
  Settings settings;
  http::Client client;
  CatalogueFeed feed;
  claims::ClaimRegistry claims;
  std::set<std::shared_ptr<wire::Connection>> connections;
  std::map<uint64_t, ForwardedCall> forwarded;
  uint64_t last_forward = 0;
  bool is_leaving = false;
};

// Handles a frame of an entry (Calls.cc).
void HandleEntryFrame(AgentState& state,
                      wire::Connection& connection,
                      const wire::FrameT& frame);

// The entry of this connection is gone (Calls.cc).
void HandleLostEntry(AgentState& state, const wire::Connection& connection);

}  // namespace bramleyspan::agent
