#include "LibCatalogue/Readiness.h"

#include <algorithm>

namespace bramleyspan::catalogue {

void HandleStoreAnswer(Readiness& readiness, uint64_t revision) {
  readiness.has_store_answered = true;
  readiness.highest_reported = std::max(readiness.highest_reported, revision);
}

void HandleListedPeer(Readiness& readiness, const std::string& peer) {
  if (!readiness.reported_peers.contains(peer)) {
    readiness.awaited_peers.insert(peer);
  }
}

void HandleListRead(Readiness& readiness) {
  readiness.has_vm_list = true;
}

void HandlePeerRevision(Readiness& readiness,
                        const std::string& peer,
                        uint64_t revision) {
  readiness.awaited_peers.erase(peer);
  readiness.reported_peers.insert(peer);
  readiness.highest_reported = std::max(readiness.highest_reported, revision);
}

void HandleLostPeer(Readiness& readiness, const std::string& peer) {
  readiness.awaited_peers.erase(peer);
}

bool UpdateReadiness(Readiness& readiness, uint64_t in_force, TimePoint now) {
  if (readiness.is_ready) {
    return true;
  }
  // During an outage of the service a peer's revision is sufficient, unless it
  // is 0: processes that all start at once must not take the empty catalogue
  // for the one in force.
  const bool has_source =
      readiness.has_store_answered || readiness.highest_reported > 0;
  const bool is_wait_over = now - readiness.started >= kPeerWait;
  const bool have_all_peers_reported =
      readiness.has_vm_list && readiness.awaited_peers.empty();
  readiness.is_ready = has_source && in_force >= readiness.highest_reported &&
                       (have_all_peers_reported || is_wait_over);
  return readiness.is_ready;
}

}  // namespace bramleyspan::catalogue
