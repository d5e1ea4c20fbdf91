// State that the parts of a rank's agent share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibAdmission/RankAdmission.h"
#include "LibHTTP/DirectCall.h"
#include "LibMapSwitch/Switch.h"
#include "LibMapSwitch/Tree.h"
#include "LibMembership/Members.h"
#include "LibPlacement/DemandTracker.h"
#include "LibPlacement/PassChoices.h"
#include "LibPlacement/SwitchPlan.h"
#include "Services/bramleyspand/PeerDatagrams.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::rankd {

// The shape of an engine's expert maps, which a gateway reads from the desired
// state.
struct MapShape {
  uint32_t sets = 0;
  uint32_t experts = 0;
  uint32_t expert_slots_per_rank = 0;
  // New experts that a rank can take in one set at a time.
  uint32_t spare = 0;
  // Time to copy one expert.
  Duration copy{};
};

// The experts that a rank holds under a map, by set.
struct HeldExperts {
  mapswitch::Version version = 0;
  std::vector<std::vector<uint16_t>> sets;
};

// A complete map that is or was in force, the base against which the next one
// is encoded.
struct VersionedMap {
  uint64_t epoch = 0;
  mapswitch::Version version = 0;
  mapswitch::ExpertLists map;
};

// What the owner of the group's map, or a leader, knows of a rank besides its
// status.
struct RankInfo {
  // Sender of the last update: the rank's agent or the leader that represents
  // it.
  std::string ip;
  Address server;
  uint64_t epoch = 0;
  HeldExperts held;
  // The desired version whose complete map the agent has.
  uint64_t received_version = 0;
  // The version whose map was last sent to it, and when.
  uint64_t sent_version = 0;
  TimePoint map_sent_at;
  // The complete map in force that the agent has, to decode changes against.
  uint64_t base_version = 0;
};

// The agent of a rank further up in the tree, as gateways report it.
struct ParentAgent {
  uint64_t epoch = 0;
  std::string ip;
};

// A plan that was not worth a switch. Planning takes more time than anything
// else that an agent does, so the next plan is made only once something has
// changed.
struct RejectedPlan {
  mapswitch::Version map = 0;
  uint64_t shifts = 0;
  double skew = 0;
  double gain = 0;
};

struct RankState {
  RankState(EventLoop& loop, const Settings& settings)
      : loop(loop), settings(settings) {}

  EventLoop& loop;
  Settings settings;
  mapswitch::RankAdapter adapter;
  http::ConnectionPool connection_pool;
  std::unique_ptr<PeerDatagrams> datagrams;
  membership::Members members;
  uint64_t incarnation = 0;

  // The last status of the rank beside this agent.
  std::optional<mapswitch::RankStatus> own;
  TimePoint own_received_at;
  HeldExperts own_held;
  std::optional<mapswitch::ExpertCounts> last_counts;
  // Expert counts that were read and not sent yet.
  std::vector<uint32_t> new_counts;
  std::optional<mapswitch::DesiredMap> desired_map;
  VersionedMap map_in_force;
  // By rank, in the own group.
  std::map<uint32_t, ParentAgent> parents;
  // When the last message of this rank's leader was received.
  TimePoint leader_last_received;
  admission::RankAdmission rank_admission;
  // The model servers of all ranks, as the owner last sent them.
  std::vector<Address> group_servers;
  // The same addresses, for a leader to forward.
  std::vector<std::string> servers_to_forward;
  TimePoint owner_last_received;

  // Used by the owner only, the agent beside rank 0.
  mapswitch::MapSwitch map_switch;
  std::map<uint32_t, RankInfo> ranks;
  placement::DemandTracker drift;
  // The skew that the switch in progress is planned to reach.
  double planned_skew = 1;
  // Number of demand shifts that had been seen when it was planned.
  uint64_t planned_at_shift = 0;
  // The last plan that was not worth a switch.
  std::optional<RejectedPlan> rejected_plan;
  // The experts that the ranks' requests selected in the newest pass.
  placement::PassChoices choices;
  std::optional<MapShape> shape;
  TimePoint group_logged_at;

  const FleetSettings& fleet() const { return *this->settings.fleet; }
  bool is_owner() const { return this->own && this->own->rank == 0; }
  mapswitch::Tree tree() const {
    return {.size = this->own ? this->own->size : 0,
            .fan_out = this->fleet().group_fan_out};
  }
  std::string FindParentIp(uint32_t rank) const {
    const auto found = this->parents.find(rank);
    return found == this->parents.end() ? "" : found->second.ip;
  }
};

}  // namespace bramleyspan::rankd
