// What the parts of a rank's agent share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibAdmission/RankPlaces.h"
#include "LibHTTP/DirectCall.h"
#include "LibMapSwitch/Switch.h"
#include "LibMapSwitch/Tree.h"
#include "LibMembership/Members.h"
#include "LibPlacement/Drift.h"
#include "LibPlacement/PassChoices.h"
#include "LibPlacement/SwitchPlan.h"
#include "Services/bramleyspand/PeerDatagrams.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan::rankd {

// The shape of an engine's expert maps, as a gateway tells it from the desired
// state.
struct MapShape {
  uint32_t sets = 0;
  uint32_t experts = 0;
  uint32_t places_per_rank = 0;
  uint32_t spare = 0;
  // What copying an expert takes.
  Duration copy{};
};

// Set by set, the experts that a rank holds under a map.
struct HeldExperts {
  mapswitch::Version version = 0;
  std::vector<std::vector<uint16_t>> sets;
};

// A whole map that is or was in force, which the next one is told against.
struct HeldMap {
  uint64_t epoch = 0;
  mapswitch::Version version = 0;
  mapswitch::ExpertLists map;
};

// What the owner of the group's map, or a leader, knows of a rank besides its
// status.
struct RankInfo {
  // Where its news came from: its agent or the leader above it.
  std::string ip;
  Address server;
  uint64_t epoch = 0;
  HeldExperts held;
  // The versions of the wish whose map its agent has and was last told, and
  // when.
  uint64_t wish_version = 0;
  uint64_t told_version = 0;
  TimePoint map_told;
  // The whole map that its agent has.
  uint64_t base_version = 0;
};

// The agent of a rank above this one, as gateways tell of it.
struct Superior {
  uint64_t epoch = 0;
  std::string ip;
};

// A plan that was not worth a switch. The next one is made when something has
// changed: it takes the most time of all that an agent does.
struct FruitlessPlan {
  mapswitch::Version map = 0;
  uint64_t jumps = 0;
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

  // The rank beside this agent.
  std::optional<mapswitch::RankStatus> own;
  TimePoint own_heard;
  HeldExperts own_held;
  std::optional<mapswitch::ExpertCounts> last_counts;
  // Choices read and not told yet.
  std::vector<uint32_t> new_counts;
  std::optional<mapswitch::Wish> wish;
  HeldMap map_in_force;
  // By rank, in the own group.
  std::map<uint32_t, Superior> superiors;
  // When the leader above was last heard.
  TimePoint leader_heard;
  admission::RankPlaces places;
  // The servers of all ranks, as the owner told them, and when it last did.
  std::vector<Address> group_servers;
  // As a leader passes them on.
  std::vector<std::string> servers_heard;
  TimePoint owner_heard;

  // Kept by the owner only, the agent beside rank 0.
  mapswitch::MapSwitch map_switch;
  std::map<uint32_t, RankInfo> ranks;
  placement::Drift drift;
  // The skew that the switch under way was planned to.
  double planned_skew = 1;
  // Jumps of demand that were seen when it was planned.
  uint64_t planned_at_jump = 0;
  // What the last plan that was not worth a switch would have gained.
  std::optional<FruitlessPlan> fruitless;
  // What the ranks chose in the newest pass.
  placement::PassChoices choices;
  std::optional<MapShape> shape;
  // When the group's load was last logged.
  TimePoint group_logged;

  const FleetSettings& fleet() const { return *this->settings.fleet; }
  bool is_owner() const { return this->own && this->own->rank == 0; }
  mapswitch::Tree tree() const {
    return {.size = this->own ? this->own->size : 0,
            .fan_out = this->fleet().group_fan_out};
  }
  std::string FindSuperior(uint32_t rank) const {
    const auto found = this->superiors.find(rank);
    return found == this->superiors.end() ? "" : found->second.ip;
  }
};

}  // namespace bramleyspan::rankd
