// Which rank gets a stream, by what the agents of a few ranks offer. Few
// probes with fresh answers balance better than many views that are a heartbeat
// old (power of d choices, Mitzenmacher 2001).
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

// Agents asked for one stream.
inline constexpr size_t kProbesPerStream = 6;

// What the agent beside a rank says about a place for one more stream.
struct Offer {
  std::string target;
  bool is_admitting = false;
  // All streams of the rank's group are late for a while.
  bool is_slow = false;
  uint32_t load = 0;
  double limit = 0;
  Duration pass{};
};

// Where the agent of a target is: on the target's own VM, or where it said.
std::string AgentIpOf(const TargetView& view);

// Up to `count` ranks of the service whose agents can be asked, drawn at random
// and from each group alike. Those that were not heard of yet are a group too.
std::vector<const TargetView*> PickRanksToProbe(
    const TargetTable& targets,
    std::string_view service,
    const std::set<std::string>& excluded,
    size_t count,
    uint64_t random_bits,
    TimePoint now);

// The offer that has the most room for its limit; nothing if none admits. A
// slow group, which takes only streams that are late in any case, goes first:
// they would be late at the others' cost elsewhere.
std::optional<Offer> ChooseOffer(const std::vector<Offer>& offers);

}  // namespace bramleyspan::gateway
