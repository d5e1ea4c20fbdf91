// Follows the catalogue in one process and passes it on to the process's peers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Time.h"
#include "LibCatalogue/Follower.h"
#include "LibWire/Connection.h"

namespace bramleyspan {

// Conditions that need an operator; docs/operating/catalogue.md says what to
// do.
enum class CatalogueAlarm {
  // The key-value service does not answer.
  kStoreUnavailable,
  // The key-value service holds an older state than the one in force.
  kStoreBehind,
  // The key-value service has lost accepted changes and accepted others.
  kStoreDiverged,
  // A peer has another history in force, which this process must not follow.
  kPeerDiverged,
  // A head or a shard cannot be parsed.
  kMalformed,
};

// Returns the stable name of an alarm, such as "store_behind".
std::string_view NameOf(CatalogueAlarm alarm);

// When an alarm was raised, and what caused it.
struct RaisedAlarm {
  TimePoint since;
  std::string detail;
};

class CatalogueFeed {
 public:
  // Fetches shards by their digests; each is then given to OfferShard.
  using FetchShards = std::function<void(const std::vector<std::string>&)>;

  // Called when a newer revision is in force in this process.
  std::function<void()> on_in_force;

  // Handles a head from a peer or the store; calls `fetch` for the shards that
  // are missing.
  catalogue::OfferOutcome OfferHead(const catalogue::Head& head,
                                    const FetchShards& fetch);

  // Handles a shard from a peer or the store.
  void OfferShard(const std::string& document);

  // Handles a head with all of its shards, as a commit produces them.
  void OfferSnapshot(const catalogue::Snapshot& snapshot);

  // Sends a peer the head that is in force in this process.
  void AnnounceHead(wire::Connection& connection) const;

  // Sends a peer the revision and the change that are in force in this process.
  void SendInForce(wire::Connection& connection) const;

  // Requests the shards of a pending head from a peer again. A request or its
  // answer is lost with its connection, and no other process repeats it.
  void RequestPendingShards(wire::Connection& connection) const;

  // Handles the frames by which peers pass the catalogue on. Returns false for
  // frames that others must handle too.
  bool HandleFrame(wire::Connection& connection, const wire::FrameT& frame);

  void Raise(CatalogueAlarm alarm, const std::string& detail);
  void Clear(CatalogueAlarm alarm);

  const catalogue::Catalogue& current() const {
    return this->follower.catalogue;
  }
  uint64_t revision() const { return this->follower.in_force.head.revision; }
  const catalogue::Head& head() const { return this->follower.in_force.head; }
  const catalogue::Snapshot& snapshot() const {
    return this->follower.in_force;
  }
  catalogue::AcceptedChange newest_change() const {
    return catalogue::NewestChange(this->head());
  }
  std::vector<std::string> pending_shards() const {
    return catalogue::FindPendingShards(this->follower);
  }

  // When the current revision came into force in this process.
  TimePoint in_force_since{};
  std::map<CatalogueAlarm, RaisedAlarm> alarms;

 private:
  void HandleAnnouncement(wire::Connection& connection,
                          const wire::HeadAnnouncementT& announced);
  void HandleShardRequest(wire::Connection& connection,
                          const wire::ShardRequestT& request) const;
  void HandlePeerRevision(wire::Connection& connection,
                          const catalogue::AcceptedChange& in_force);
  void HandleOutcome(catalogue::OfferOutcome outcome);

  catalogue::Follower follower;
};

}  // namespace bramleyspan
