// Exchanges heartbeats and updates with the other processes of the system.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/MemberRecords.h"
#include "Services/bramleyspand/Gateway/RankAgents.h"
#include "Services/bramleyspand/PeerDatagrams.h"

namespace bramleyspan::gatewayd {

class Peers {
 public:
  explicit Peers(GatewayState& state)
      : state(state),
        records(state),
        agents(state, [this](const std::string& ip, const std::string& bytes) {
          this->Send(ip, bytes);
        }) {}

  // Fails with kConnectionFailed if the port is taken.
  Result<void> Start();

  void Send(const std::string& ip, const std::string& bytes);

  // Sends heartbeats at once, after a change that others should receive without
  // delay.
  void SendHeartbeatsNow();

  // Sends a datagram to all live gateways.
  void SendToGateways(const std::string& bytes);

  // What a peer that fetches changes has already.
  struct KnownChanges {
    uint64_t table_version = 0;
    uint64_t targets_revision = 0;
    // None if the peer's build does not know evacuated zones.
    std::optional<uint64_t> desired_revision;
  };

  // Returns the body of /v1/news, which a peer fetches that received a newer
  // version or revision: the desired state, the evacuated zones and the targets
  // that changed since.
  std::string SerializeUpdate(const KnownChanges& known) const;

 private:
  void Tick();
  void SendHeartbeats();
  membership::wire::MemberT DescribeSelf();
  void HandleMessage(const std::string& from_ip,
                     const membership::wire::MessageT& message);
  void HandleHeartbeat(const std::string& from_ip,
                       const membership::wire::HeartbeatT& heartbeat);
  void HandleQuery(const std::string& from_ip,
                   const membership::wire::MemberQueryT& query);
  void HandleMember(const membership::wire::MemberT& member, bool is_direct);
  void UpdateLoads();
  // Returns the revision up to which this gateway knows the desired state and
  // the evacuated zones. An answer of an older build, which has the desired
  // state alone, does not count.
  uint64_t DesiredRevision() const;
  void FetchIfBehind(const membership::wire::MemberT& member);
  // Handles a peer's answer. `desired_revision` is what its record named
  // before.
  void HandleUpdate(const std::string& text, uint64_t desired_revision);
  void ApplyUpdate(const nlohmann::json& update);

  GatewayState& state;
  std::unique_ptr<PeerDatagrams> datagrams;
  MemberRecords records;
  RankAgents agents;
  // Rounds of heartbeats since the start.
  uint64_t round = 0;
  bool is_fetching = false;
  TimePoint last_fetch;
  // The desired revision of the peers that answered with all changes.
  uint64_t fetched_desired_revision = 0;
};

}  // namespace bramleyspan::gatewayd
