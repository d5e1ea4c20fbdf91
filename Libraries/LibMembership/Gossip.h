// Chooses the receivers and the contents of a gateway's heartbeats. In a small
// fleet each gateway sends to all others. In a large one it sends to a few,
// mostly in its own zone, and adds 8-byte digests of all live gateways, so that
// the bytes per gateway do not grow with the square of the fleet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibMembership/Members.h"

namespace bramleyspan::membership {

// Up to this many other gateways, each heartbeat is sent to all of them.
inline constexpr size_t kMaxFullMeshPeers = 12;

// Receivers of a heartbeat in a larger fleet: in the own zone, and in others.
inline constexpr size_t kSameZonePeers = 3;
inline constexpr size_t kOtherZonePeers = 1;

// Records in one heartbeat besides the sender's own.
inline constexpr size_t kRecordsPerHeartbeat = 1;
inline constexpr size_t kRecordsPerHeartbeatInLargeFleet = 2;

// Whether there are too many other gateways to send each heartbeat to all.
bool is_large(const Members& members);

// Returns the IP addresses of the gateways that heartbeat number `round` goes
// to. In a large fleet each gateway goes through the others in turn, in an
// order of its own.
std::vector<std::string> PeersForHeartbeat(const Members& members,
                                           uint64_t round);

// Returns the records of live gateways that the next heartbeat carries, and
// counts them as sent. Changed records come first, then all in turn.
std::vector<const wire::MemberT*> RecordsToSend(Members& members,
                                                TimePoint now);

// Returns the digests of all other live gateways; none in a small fleet, where
// each gateway sends its own record to all others.
std::vector<wire::SignOfLife> DigestsToSend(const Members& members,
                                            TimePoint now);

// Merges the digests of a heartbeat. Returns the keys of unknown records, which
// are to be requested from its sender; at most as many as fit into a datagram
// with their records.
std::vector<uint32_t> ApplyDigests(Members& members,
                                   const std::vector<wire::SignOfLife>& digests,
                                   TimePoint now);

// Returns the known records with these keys; at most as many as fit into a
// datagram.
std::vector<const wire::MemberT*> FindByKeys(const Members& members,
                                             const std::vector<uint32_t>& keys);

// Returns up to `max_count` live gateways whose records are sent to an agent.
// Successive rounds go through all of them in turn.
std::vector<const wire::MemberT*> GatewaysForAgent(const Members& members,
                                                   uint64_t round,
                                                   size_t max_count,
                                                   TimePoint now);

}  // namespace bramleyspan::membership
