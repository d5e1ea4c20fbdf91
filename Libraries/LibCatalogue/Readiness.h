// When a starting process may serve: once it has in force whatever the
// key-value service or a reachable peer held when it started.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::catalogue {

// How long a starting process waits for listed peers that say nothing, such as
// a VM that has died and is listed still.
inline constexpr Duration kPeerWait = std::chrono::seconds(2);

struct Readiness {
  TimePoint started;
  bool is_ready = false;
  bool is_store_heard = false;
  bool is_list_heard = false;
  std::set<std::string> silent_peers;
  std::set<std::string> heard_peers;
  // The highest revision that anybody named.
  uint64_t highest_told = 0;
};

// The key-value service answered with a head of this revision.
void HandleStoreAnswer(Readiness& readiness, uint64_t revision);

// The VM list names a peer.
void HandleListedPeer(Readiness& readiness, const std::string& peer);

// The VM list was read, with every peer in it handled.
void HandleListRead(Readiness& readiness);

// A peer told what it has in force.
void HandlePeerRevision(Readiness& readiness,
                        const std::string& peer,
                        uint64_t revision);

// A peer can not be reached.
void HandleLostPeer(Readiness& readiness, const std::string& peer);

// Whether the process may serve with `in_force`; once true it stays true.
bool UpdateReadiness(Readiness& readiness, uint64_t in_force, TimePoint now);

}  // namespace bramleyspan::catalogue
