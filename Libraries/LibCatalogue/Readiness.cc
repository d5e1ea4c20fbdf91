#include "LibCatalogue/Readiness.h"

#include <algorithm>

namespace bramleyspan::catalogue {

void HandleStoreAnswer(Readiness& readiness, uint64_t revision) {
  readiness.is_store_heard = true;
  readiness.highest_told = std::max(readiness.highest_told, revision);
}

void HandleListedPeer(Readiness& readiness, const std::string& peer) {
  if (!readiness.heard_peers.contains(peer)) {
    readiness.silent_peers.insert(peer);
  }
}

void HandleListRead(Readiness& readiness) {
  readiness.is_list_heard = true;
}

void HandlePeerRevision(Readiness& readiness,
                        const std::string& peer,
                        uint64_t revision) {
  readiness.silent_peers.erase(peer);
  readiness.heard_peers.insert(peer);
  readiness.highest_told = std::max(readiness.highest_told, revision);
}

void HandleLostPeer(Readiness& readiness, const std::string& peer) {
  readiness.silent_peers.erase(peer);
}

bool UpdateReadiness(Readiness& readiness, uint64_t in_force, TimePoint now) {
  if (readiness.is_ready) {
    return true;
  }
  // During an outage of the service a peer stands in for it, if it has
  // anything: a fleet that starts as a whole must not take "nothing" for the
  // catalogue that is in force.
  const bool has_source =
      readiness.is_store_heard || readiness.highest_told > 0;
  const bool is_wait_over = now - readiness.started >= kPeerWait;
  const bool are_peers_heard =
      readiness.is_list_heard && readiness.silent_peers.empty();
  readiness.is_ready = has_source && in_force >= readiness.highest_told &&
                       (are_peers_heard || is_wait_over);
  return readiness.is_ready;
}

}  // namespace bramleyspan::catalogue
