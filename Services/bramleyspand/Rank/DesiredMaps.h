// What the owner of a group's map wants of the ranks, on its way to their
// agents.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// How the map is told, once for all that are told it.
struct MapAsTold {
  mapswitch::Version version = 0;
  uint64_t epoch = 0;
  mapswitch::Version base = 0;
  std::string whole;
  // Empty where there is no base.
  std::string changes;
};

// The side of the owner, and of a leader that passes on what the owner said.
class WishTeller {
 public:
  explicit WishTeller(RankState& state) : state(state) {}

  // Tells all agents what the switch under way wants, at each tick and at once
  // where it is new. What the own rank is to do is left in the state.
  void Tell(TimePoint now);

  // Tells the agents of `ranks`, each address once. The map goes only to those
  // that do not have it yet: it is by far the most of a wish, and a wish is
  // said many times. Maps take half of the link, one after the other: in one
  // burst those that a queue has no room for would be lost, the same ones each
  // time.
  void Pass(const mapswitch::Wish& wish,
            std::map<uint32_t, RankInfo>& ranks,
            const std::vector<std::string>& servers,
            TimePoint now);

 private:
  struct QueuedMap {
    std::string ip;
    std::string bytes;
  };

  const MapAsTold& Describe(const mapswitch::Wish& wish);
  // How long maps of so many bytes take on their part of the link.
  Duration TimeFor(size_t bytes) const;
  void SendQueued();
  std::vector<std::string> ServersIfDue(TimePoint now);

  RankState& state;
  TimePoint told_at;
  TimePoint servers_told;
  mapswitch::SwitchPhase told_phase = mapswitch::SwitchPhase::kIdle;
  mapswitch::Version told_version = 0;
  mapswitch::Step told_hold = 0;
  MapAsTold told;
  std::deque<QueuedMap> queue;
  size_t queued_bytes = 0;
  bool is_sending = false;
};

enum class Taking { kRefused, kKnown, kNew };

// The other agents' side: takes a wish that is not older than the known one.
Taking TakeWish(RankState& state,
                const membership::wire::MapWishT& wish,
                TimePoint now);

}  // namespace bramleyspan::rankd
