#include <set>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::string_view kModule = "links";
constexpr Duration kVmListInterval = std::chrono::seconds(1);

void SendHello(const EntryState& state, wire::Connection& connection) {
  wire::HelloT hello;
  hello.process = state.settings.name;
  hello.role = state.settings.role;
  hello.zone = state.settings.zone;
  hello.revision = state.feed.revision();
  connection.Send(wire::Encode(std::move(hello)));
}

void HandleFrame(EntryState& state,
                 const std::string& peer,
                 wire::Connection& connection,
                 const wire::FrameT& frame) {
  const auto found = state.links.find(peer);
  if (const auto* announced = frame.body.AsHeadAnnouncement();
      announced != nullptr && found != state.links.end()) {
    // A peer announces only what it has in force. Without this, a peer that
    // read the head by itself would show an old revision in `status` for ever.
    found->second.revision = announced->revision;
  }
  if (state.feed.HandleFrame(connection, frame)) {
    return;
  }
  if (found == state.links.end()) {
    return;
  }
  Link& link = found->second;
  if (const auto* hello = frame.body.AsHello()) {
    link.role = hello->role;
    link.zone = hello->zone;
    link.incarnation = hello->incarnation;
    link.revision = hello->revision;
    if (link.role == "entry") {
      SendSeals(state, connection);
    }
  } else if (const auto* in_force = frame.body.AsInForce()) {
    link.revision = in_force->revision;
  } else if (frame.body.AsLeaving() != nullptr) {
    link.is_leaving = true;
  } else {
    HandleAgentFrame(state, frame);
  }
}

void HandleClosed(EntryState& state,
                  const std::string& peer,
                  const Error& error) {
  state.links.erase(peer);
  Log(LogLevel::kInfo, kModule, "link_closed",
      {{"peer", peer}, {"error", Describe(error)}});
  HandleLostAgent(state, peer);
}

void OpenLink(EntryState& state, const platform::Vm& vm) {
  wire::ConnectionEvents events;
  events.on_open = [&state](wire::Connection& connection) {
    SendHello(state, connection);
    state.feed.AnnounceTo(connection);
  };
  events.on_frame = [&state, peer = vm.name](wire::Connection& connection,
                                             const wire::FrameT& frame) {
    HandleFrame(state, peer, connection, frame);
  };
  events.on_closed = [&state, peer = vm.name](wire::Connection&,
                                              const Error& error) {
    HandleClosed(state, peer, error);
  };
  const Address address{vm.ip, state.settings.link_port};
  Link link;
  link.process = vm.name;
  link.zone = vm.zone;
  link.connection =
      wire::Connection::Connect(state.loop, address, std::move(events));
  state.links.insert_or_assign(vm.name, std::move(link));
}

// Of two entries the one whose name sorts first opens the link.
bool is_ours_to_open(const EntryState& state, const platform::Vm& vm) {
  return vm.kind == platform::VmKind::kTarget || state.settings.name < vm.name;
}

void UpdateFromVmList(EntryState& state) {
  for (const platform::Vm& vm : state.vms) {
    if (is_ours_to_open(state, vm) && !state.links.contains(vm.name)) {
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

void AcceptLink(EntryState& state, h2o_socket_t* socket) {
  // Nobody is filed under a name before it has said its name.
  auto peer = std::make_shared<std::string>();
  wire::ConnectionEvents events;
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
      state.feed.AnnounceTo(connection);
    }
    HandleFrame(state, *peer, connection, frame);
  };
  events.on_closed = [&state, peer](wire::Connection&, const Error& error) {
    HandleClosed(state, *peer, error);
  };
  // The link holds the connection from its Hello on; until then the events do.
  auto connection = wire::Connection::Accept(socket, std::move(events));
  state.loop.RunAfter(std::chrono::seconds(5), [connection, peer] {
    if (peer->empty()) {
      connection->Close();
    }
  });
}

void AnnounceCatalogue(EntryState& state) {
  for (auto& [name, link] : state.links) {
    if (link.connection->is_open()) {
      state.feed.AnnounceTo(*link.connection);
    }
  }
}

void AnnounceLeaving(EntryState& state) {
  for (auto& [name, link] : state.links) {
    wire::LeavingT leaving;
    leaving.reason = "planned stop";
    link.connection->Send(wire::Encode(std::move(leaving)));
  }
}

}  // namespace bramleyspan::entry
