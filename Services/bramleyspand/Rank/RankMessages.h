// Converts between the datagrams of a group's agents and the types of the
// libraries.
#pragma once

#include <optional>
#include <string>

#include "Kernel/Address.h"
#include "LibMapSwitch/Switch.h"
#include "LibMembership/Members.h"
#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

membership::wire::RankStatusT ToWire(const mapswitch::RankStatus& status,
                                     const Address& server);
// Returns only what gateways need to choose ranks; they don't use the expert
// map.
membership::wire::RankStatusT ToWireForGateways(
    const mapswitch::RankStatus& status,
    const Address& server);

mapswitch::RankStatus FromWire(const membership::wire::RankStatusT& status);

// Returns the message with the complete map.
membership::wire::MapWishT ToWire(const mapswitch::DesiredMap& desired_map,
                                  const std::string& group);
// Returns the message with the differences from the map of `base`, or nothing
// if the map can't be encoded against it.
std::optional<membership::wire::MapWishT> ToWireAsChanges(
    const mapswitch::DesiredMap& desired_map,
    const std::string& group,
    const VersionedMap& base);
// Returns the desired map; its expert lists are empty if the message has none,
// or has differences from a map other than `base`.
mapswitch::DesiredMap FromWire(const membership::wire::MapWishT& desired_map,
                               uint32_t ranks,
                               const VersionedMap& base);

// Returns the row of a represented rank in a leader's summary for gateways.
membership::wire::RankRow ToRow(const mapswitch::RankStatus& status,
                                const Address& server,
                                const std::string& agent_ip);

}  // namespace bramleyspan::rankd
