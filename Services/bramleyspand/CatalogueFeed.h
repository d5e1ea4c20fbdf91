// Follows the catalogue within one process and passes it on to its peers.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "LibCatalogue/Follower.h"
#include "LibWire/Connection.h"

namespace bramleyspan {

class CatalogueFeed {
 public:
  // Fetches shards by their digests; each is given to OfferShard.
  using FetchShards = std::function<void(const std::vector<std::string>&)>;

  // Called when a newer revision has come in force here.
  std::function<void()> on_in_force;

  // Takes a head from anywhere; `fetch` is asked for what is missing.
  void OfferHead(const catalogue::Head& head, const FetchShards& fetch);

  void OfferShard(const std::string& document);

  // Tells a peer what is in force here.
  void AnnounceTo(wire::Connection& connection) const;

  // Handles the frames by which peers pass the catalogue on. Returns false if
  // the frame is of another kind.
  bool HandleFrame(wire::Connection& connection, const wire::FrameT& frame);

  const catalogue::Catalogue& current() const {
    return this->follower.catalogue;
  }
  uint64_t revision() const { return this->follower.in_force.head.revision; }
  const catalogue::Head& head() const { return this->follower.in_force.head; }

 private:
  void HandleOutcome(catalogue::OfferOutcome outcome);

  catalogue::Follower follower;
};

}  // namespace bramleyspan
