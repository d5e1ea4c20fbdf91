// The datagrams between the agents of a group, as values of the libraries.
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
// What gateways need of it to choose ranks; the map is no matter of theirs.
membership::wire::RankStatusT ToWireForGateways(
    const mapswitch::RankStatus& status,
    const Address& server);

mapswitch::RankStatus FromWire(const membership::wire::RankStatusT& status);

// With the whole map, or what differs from the map of `base`.
membership::wire::MapWishT ToWire(const mapswitch::Wish& wish,
                                  const std::string& group);
std::optional<membership::wire::MapWishT> ToWireAsChanges(
    const mapswitch::Wish& wish,
    const std::string& group,
    const HeldMap& base);
// The map is empty where none is told, or where it is told against one that
// `base` is not.
mapswitch::Wish FromWire(const membership::wire::MapWishT& wish,
                         uint32_t ranks,
                         const HeldMap& base);

// A rank of a leader's as gateways need it.
membership::wire::RankRow ToRow(const mapswitch::RankStatus& status,
                                const Address& server,
                                const std::string& agent_ip);

}  // namespace bramleyspan::rankd
