// Follows the catalogue within one process and passes it on to its peers.
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

// What an operator must look at; docs/operating/catalogue.md says what to do.
enum class CatalogueAlarm {
  // The key-value service does not answer.
  kStoreUnavailable,
  // The key-value service holds an older state than what is in force.
  kStoreBehind,
  // The key-value service lost accepted changes and has taken others.
  kStoreDiverged,
  // A peer has in force what this process must not follow.
  kPeerDiverged,
  // A head or a shard does not parse.
  kMalformed,
};

// The stable name of an alarm, such as "store_behind".
std::string_view NameOf(CatalogueAlarm alarm);

// Since when an alarm stands, and what it saw.
struct RaisedAlarm {
  TimePoint since;
  std::string detail;
};

class CatalogueFeed {
 public:
  // Fetches shards by their digests; each is given to OfferShard.
  using FetchShards = std::function<void(const std::vector<std::string>&)>;

  // Called when a newer revision has come in force here.
  std::function<void()> on_in_force;

  // Takes a head from anywhere; `fetch` is asked for what is missing.
  catalogue::OfferOutcome OfferHead(const catalogue::Head& head,
                                    const FetchShards& fetch);

  void OfferShard(const std::string& document);

  // Takes a head with all of its shards, as a commit leaves them.
  void OfferSnapshot(const catalogue::Snapshot& snapshot);

  // Sends a peer the head that is in force here.
  void AnnounceHead(wire::Connection& connection) const;

  // Tells a peer which change is in force here.
  void SendInForce(wire::Connection& connection) const;

  // Asks a peer once more for the shards of a pending head. A request or its
  // answer is lost with its connection; nobody else repeats it.
  void RequestPendingShards(wire::Connection& connection) const;

  // Handles the frames by which peers pass the catalogue on. Returns false if
  // the frame is of another kind.
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

  // When the revision in force took force here.
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
