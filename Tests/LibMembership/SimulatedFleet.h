// Gateways that gossip in virtual time over links that lose datagrams.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "LibMembership/Gossip.h"

namespace bramleyspan::membership {

class SimulatedFleet {
 public:
  // All start at once and know the first of each zone. Zones are of any size.
  SimulatedFleet(const std::vector<size_t>& zones, uint64_t seed);

  void RunFor(Duration time);
  // The process ends and says nothing.
  void Kill(size_t member);
  // It has learnt the desired state, or begins to leave.
  void SetReady(size_t member, bool is_ready);
  // It starts anew under another incarnation.
  void Restart(size_t member);

  size_t size() const { return this->members.size(); }
  // Gateways that `member` names to callers.
  size_t CountNamed(size_t member) const;
  bool is_named_by(size_t member, size_t other) const;
  // Bytes that the busiest member has sent or received in a second, the mean of
  // the run.
  double BytesPerSecond() const;

  // Out of 100 datagrams.
  int lost = 0;
  // How often a member gave up one that lives.
  uint64_t false_suspicions = 0;
  TimePoint now{std::chrono::seconds(100)};

 private:
  struct Gateway {
    wire::MemberT self;
    Members members;
    bool is_up = true;
    uint64_t turn = 0;
    TimePoint next;
    uint64_t sent = 0;
    uint64_t received = 0;
    std::vector<bool> was_named;
  };

  void Tell(Gateway& gateway);
  void Ask(Gateway& asking, Gateway& asked, const std::vector<uint32_t>& keys);
  void CountSuspicions(Gateway& gateway);

  std::vector<Gateway> members;
  std::mt19937_64 random;
  TimePoint began = this->now;
};

}  // namespace bramleyspan::membership
