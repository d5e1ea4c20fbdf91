// The datagrams between the agents of a group, as values of the libraries.
#pragma once

#include "Kernel/Address.h"
#include "LibMapSwitch/Switch.h"
#include "LibMembership/Members.h"

namespace bramleyspan::rankd {

membership::wire::RankStatusT ToWire(const mapswitch::RankStatus& status,
                                     const Address& server);
// What gateways need of it to choose ranks; the map is no matter of theirs.
membership::wire::RankStatusT ToWireForGateways(
    const mapswitch::RankStatus& status,
    const Address& server);

mapswitch::RankStatus FromWire(const membership::wire::RankStatusT& status);

membership::wire::MapWishT ToWire(const mapswitch::Wish& wish,
                                  const std::string& group);
mapswitch::Wish FromWire(const membership::wire::MapWishT& wish,
                         uint32_t ranks);

}  // namespace bramleyspan::rankd
