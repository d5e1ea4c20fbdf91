// Chooses the rank of a stream by the offers of a few ranks' agents. A few
// probes with fresh answers balance better than a view of all ranks that is a
// heartbeat old (power of d choices, Mitzenmacher 2001).
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

// Agents that are probed for one stream.
inline constexpr size_t kProbesPerStream = 6;

// An agent's answer to a probe: whether its rank admits one more stream.
struct Offer {
  std::string target;
  bool is_admitting = false;
  // Every stream of the rank's group is late at present, because one of its
  // ranks is slow.
  bool is_slow = false;
  // Streams at the rank, and how many may run there at once.
  uint32_t load = 0;
  double limit = 0;
  // Duration of a pass at present; zero if nothing runs.
  Duration pass{};
};

// Returns the IP address of a target's agent: the one that the agent reported,
// else the target's own VM.
std::string AgentIpOf(const TargetView& view);

// Returns up to `count` ranks of the service to probe, drawn at random and in
// equal numbers from each group. Ranks whose group is not known yet count as
// one group. Avoided ranks and ranks of unresponsive agents are left out. If a
// zone is preferred, the ranks are from it, provided that it has at least twice
// as many as are probed.
std::vector<const TargetView*> PickRanksToProbe(
    const TargetTable& targets,
    std::string_view service,
    const std::set<std::string>& excluded,
    size_t count,
    std::string_view preferred_zone,
    uint64_t random_bits,
    TimePoint now);

// Returns the admitting offer with the lowest utilization; nothing if none
// admits. An offer of a slow group comes first: such a group admits only
// streams that are late in any case, and these would make other streams late in
// another group.
std::optional<Offer> ChooseOffer(const std::vector<Offer>& offers);

}  // namespace bramleyspan::gateway
