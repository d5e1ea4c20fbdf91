// Whom a gateway tells what of the others. In a small fleet each tells all; in
// a large one each tells a few, its own zone mostly, and passes on signs of
// life, so that what a member costs does not grow with the square of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibMembership/Members.h"

namespace bramleyspan::membership {

// Up to so many gateways are told each time.
inline constexpr size_t kAllPeers = 12;

// Beyond, so many in the own zone and elsewhere.
inline constexpr size_t kNearPeers = 3;
inline constexpr size_t kFarPeers = 1;

// Records told in one heartbeat besides the sender's own.
inline constexpr size_t kMembersPerHeartbeat = 1;
inline constexpr size_t kMembersPerHeartbeatOfMany = 2;

// Whether the others are too many to tell all of them.
bool is_large(const Members& members);

// The gateways' IP numbers to send the next heartbeat to. Each gateway tells
// the others in an order of its own, and each in its turn.
std::vector<std::string> PeersForHeartbeat(const Members& members,
                                           uint64_t turn);

// The records to tell next: those with news first, then each in its turn.
std::vector<const wire::MemberT*> NextToTell(Members& members, TimePoint now);

// The signs of life of all that live; none where each tells all itself.
std::vector<wire::SignOfLife> SignsToTell(const Members& members,
                                          TimePoint now);

// Takes the signs of life of a heartbeat. Returns the keys to ask its sender
// about; no more than fit a datagram with their records.
std::vector<uint32_t> TakeSigns(Members& members,
                                const std::vector<wire::SignOfLife>& signs,
                                TimePoint now);

// The records that were asked about.
std::vector<const wire::MemberT*> FindByKeys(const Members& members,
                                             const std::vector<uint32_t>& keys);

// The next gateways to speak of to an agent, so that each is spoken of in its
// turn.
std::vector<const wire::MemberT*> MembersToTell(const Members& members,
                                                uint64_t turn,
                                                size_t most,
                                                TimePoint now);

}  // namespace bramleyspan::membership
