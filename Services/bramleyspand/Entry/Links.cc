#include <set>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::string_view kModule = "links";
constexpr Duration kVmListInterval = std::chrono::seconds(1);

void SendLeaving(wire::Connection& connection) {
  wire::LeavingT leaving;
  leaving.reason = "planned stop";
  connection.Send(wire::Encode(std::move(leaving)));
}

void SendHello(const EntryState& state, wire::Connection& connection) {
  wire::HelloT hello;
  hello.process = state.settings.name;
  hello.role = state.settings.role;
  hello.zone = state.settings.zone;
  hello.revision = state.feed.revision();
  hello.change = state.feed.newest_change().id;
  connection.Send(wire::Encode(std::move(hello)));
  // A peer that has just started was not there for AnnounceLeaving.
  if (state.is_leaving) {
    SendLeaving(connection);
  }
}

// Records the change that a peer has in force.
void HandleRevision(EntryState& state,
                    Link& link,
                    const catalogue::AcceptedChange& in_force) {
  if (link.in_force != in_force) {
    link.in_force_since = EventLoop::Now();
  }
  link.in_force = in_force;
  catalogue::HandlePeerRevision(state.readiness, link.process,
                                in_force.revision);
}

void HandlePeerFrame(EntryState& state, Link& link, const wire::FrameT& frame) {
  if (const auto* hello = frame.body.AsHello()) {
    link.has_sent_hello = true;
    link.role = hello->role;
    link.zone = hello->zone;
    link.incarnation = hello->incarnation;
    HandleRevision(state, link, {hello->change, hello->revision});
    if (link.role == "entry") {
      SendClosingRecords(state, *link.connection);
    }
  } else if (const auto* in_force = frame.body.AsInForce()) {
    HandleRevision(state, link, {in_force->change, in_force->revision});
  } else if (frame.body.AsLeaving() != nullptr) {
    link.is_leaving = true;
  }
}

void HandleFrame(EntryState& state,
                 const std::string& peer,
                 wire::Connection& connection,
                 const wire::FrameT& frame) {
  const auto found = state.links.find(peer);
  if (found != state.links.end()) {
    HandlePeerFrame(state, found->second, frame);
  }
  const bool is_catalogue = state.feed.HandleFrame(connection, frame);
  RefreshReadiness(state);
  if (!is_catalogue && found != state.links.end()) {
    HandleAgentFrame(state, frame);
  }
}

void HandleClosed(EntryState& state,
                  const std::string& peer,
                  const wire::Connection& connection,
                  const Error& error) {
  const auto found = state.links.find(peer);
  if (found == state.links.end() ||
      found->second.connection.get() != &connection) {
    // The peer reconnected before the end of the old connection was detected.
    // That end must not remove the new link.
    return;
  }
  state.links.erase(found);
  catalogue::HandleLostPeer(state.readiness, peer);
  Log(LogLevel::kInfo, kModule, "link_closed",
      {{"peer", peer}, {"error", Describe(error)}});
  HandleLostAgent(state, peer);
}

void OpenLink(EntryState& state, const platform::Vm& vm) {
  wire::ConnectionEvents events;
  events.on_open = [&state](wire::Connection& connection) {
    SendHello(state, connection);
  };
  events.on_frame = [&state, peer = vm.name](wire::Connection& connection,
                                             const wire::FrameT& frame) {
    HandleFrame(state, peer, connection, frame);
  };
  events.on_closed = [&state, peer = vm.name](wire::Connection& connection,
                                              const Error& error) {
    HandleClosed(state, peer, connection, error);
  };
  const Address address{vm.ip, state.settings.link_port};
  Link link;
  link.process = vm.name;
  link.zone = vm.zone;
  link.connection =
      wire::Connection::Connect(state.loop, address, std::move(events));
  state.links.insert_or_assign(vm.name, std::move(link));
}

// Of two entries, the one whose name sorts first opens the link; links to
// targets are always opened here.
bool is_opened_here(const EntryState& state, const platform::Vm& vm) {
  return vm.kind == platform::VmKind::kTarget || state.settings.name < vm.name;
}

void UpdateFromVmList(EntryState& state) {
  for (const platform::Vm& vm : state.vms) {
    if (vm.name != state.settings.name) {
      catalogue::HandleListedPeer(state.readiness, vm.name);
    }
    if (is_opened_here(state, vm) && !state.links.contains(vm.name)) {
      OpenLink(state, vm);
    }
  }
}

void PollVmList(EntryState& state) {
  platform::FetchVmList(
      state.client, state.settings.vm_list,
      [&state](Result<std::vector<platform::Vm>> vms) {
        if (vms.has_value()) {
          state.vms = std::move(vms).assume_value();
          catalogue::HandleListRead(state.readiness);
        } else {
          Log(LogLevel::kWarning, kModule, "vm_list_unavailable",
              {{"error", Describe(vms.error())}});
        }
        UpdateFromVmList(state);
        state.loop.RunAfter(kVmListInterval, [&state] { PollVmList(state); });
      });
}

}  // namespace

void StartLinks(EntryState& state) {
  PollVmList(state);
}

std::shared_ptr<wire::Connection> AcceptLink(EntryState& state,
                                             h2o_socket_t* socket) {
  // A link is registered only after the Hello frame with the peer's name.
  auto peer = std::make_shared<std::string>();
  wire::ConnectionEvents events;
  events.holds = state.holds;
  events.on_frame = [&state, peer](wire::Connection& connection,
                                   const wire::FrameT& frame) {
    const auto* hello = frame.body.AsHello();
    if (peer->empty() && hello != nullptr) {
      *peer = hello->process;
      Link link;
      link.process = *peer;
      link.connection = connection.shared_from_this();
      state.links.insert_or_assign(*peer, std::move(link));
      SendHello(state, connection);
    }
    HandleFrame(state, *peer, connection, frame);
  };
  events.on_closed = [&state, peer](wire::Connection& connection,
                                    const Error& error) {
    HandleClosed(state, *peer, connection, error);
  };
  // From Hello on the link owns the connection; until then its LinkDoor does.
  return wire::Connection::Accept(socket, std::move(events));
}

void AnnounceCatalogue(EntryState& state) {
  for (auto& [name, link] : state.links) {
    if (!link.connection->is_open()) {
      continue;
    }
    if (link.in_force.revision < state.feed.revision()) {
      state.feed.AnnounceHead(*link.connection);
    } else {
      state.feed.SendInForce(*link.connection);
    }
  }
}

void SendInForce(EntryState& state) {
  for (auto& [name, link] : state.links) {
    if (link.has_sent_hello) {
      state.feed.SendInForce(*link.connection);
    }
  }
}

void AnnounceLeaving(EntryState& state) {
  for (auto& [name, link] : state.links) {
    SendLeaving(*link.connection);
  }
}

}  // namespace bramleyspan::entry
