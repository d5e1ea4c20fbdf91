// Decides when a starting process may serve: once it has in force the highest
// revision that the key-value service or a reachable peer reported at its
// start.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::catalogue {

// How long a starting process waits for listed peers that do not respond, such
// as a failed VM that is still on the list.
inline constexpr Duration kPeerWait = std::chrono::seconds(2);

struct Readiness {
  TimePoint started;
  bool is_ready = false;
  bool has_store_answered = false;
  bool has_vm_list = false;
  std::set<std::string> awaited_peers;
  std::set<std::string> reported_peers;
  // The highest revision that the service or a peer reported.
  uint64_t highest_reported = 0;
};

// Handles an answer of the key-value service with a head of this revision.
void HandleStoreAnswer(Readiness& readiness, uint64_t revision);

// Adds a peer from the VM list, whose revision is awaited.
void HandleListedPeer(Readiness& readiness, const std::string& peer);

// Handles the end of a VM list of which every peer was handled.
void HandleListRead(Readiness& readiness);

// Handles a peer's report of the revision that it has in force.
void HandlePeerRevision(Readiness& readiness,
                        const std::string& peer,
                        uint64_t revision);

// Stops waiting for a peer that cannot be reached.
void HandleLostPeer(Readiness& readiness, const std::string& peer);

// Returns whether the process may serve with revision `in_force`. Once true it
// stays true.
bool UpdateReadiness(Readiness& readiness, uint64_t in_force, TimePoint now);

}  // namespace bramleyspan::catalogue
