// Simulates gateways that gossip in virtual time over links that lose
// datagrams.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "LibMembership/Gossip.h"

namespace bramleyspan::membership {

class SimulatedFleet {
 public:
  // `zones` has the number of gateways of each zone. All start at once and have
  // the address of the first gateway of each zone.
  SimulatedFleet(const std::vector<size_t>& zones, uint64_t seed);

  void RunFor(Duration time);
  // Ends the process without a last heartbeat.
  void Kill(size_t member);
  // Sets whether the gateway is ready to serve callers.
  void SetReady(size_t member, bool is_ready);
  // Starts the process again under a new incarnation.
  void Restart(size_t member);

  size_t size() const { return this->members.size(); }
  // Number of gateways that `member` lists to callers.
  size_t CountLivePeers(size_t member) const;
  // Whether `other` takes the present incarnation of `member` for alive.
  bool is_live_for(size_t member, size_t other) const;
  // Mean bytes per second that the busiest member has sent or received since
  // the start, whichever is more.
  double BytesPerSecond() const;

  // Datagrams lost out of 100.
  int loss_percent = 0;
  // How often a gateway took a running one for dead.
  uint64_t false_suspicions = 0;
  TimePoint now{std::chrono::seconds(100)};

 private:
  struct Gateway {
    wire::MemberT self;
    Members members;
    bool is_up = true;
    uint64_t round = 0;
    TimePoint next;
    uint64_t sent = 0;
    uint64_t received = 0;
    std::vector<bool> was_live;
  };

  void SendHeartbeat(Gateway& gateway);
  void Query(Gateway& requester,
             Gateway& responder,
             const std::vector<uint32_t>& keys);
  void CountSuspicions(Gateway& gateway);

  std::vector<Gateway> members;
  std::mt19937_64 random;
  TimePoint started_at = this->now;
};

}  // namespace bramleyspan::membership
