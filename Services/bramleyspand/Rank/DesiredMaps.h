// Sends the desired map of a group's owner to the agents of the ranks.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// A desired map, encoded once for all agents that it is sent to.
struct EncodedMap {
  mapswitch::Version version = 0;
  uint64_t epoch = 0;
  mapswitch::Version base = 0;
  std::string complete;
  // Empty if there is no base.
  std::string changes;
};

// Used by the owner, and by a leader that forwards the owner's messages.
class DesiredMapSender {
 public:
  explicit DesiredMapSender(RankState& state) : state(state) {}

  // Sends the desired map of the switch in progress to all agents: at once if
  // it is new, and repeatedly until the switch ends. Sets the own rank's
  // desired map in the state.
  void SendIfDue(TimePoint now);

  // Sends the desired map to the agents of `ranks`, once to each address. The
  // expert lists go only to agents that don't have them yet: they are by far
  // the largest part of the message, and it is repeated often. They use half of
  // the link, one agent after the other: in one burst those that don't fit into
  // a queue would be lost, the same ones each time.
  void SendTo(const mapswitch::DesiredMap& desired_map,
              std::map<uint32_t, RankInfo>& ranks,
              const std::vector<std::string>& servers,
              TimePoint now);

 private:
  struct QueuedMap {
    std::string ip;
    std::string bytes;
  };

  const EncodedMap& EncodeMap(const mapswitch::DesiredMap& desired_map);
  // Returns the time to send so many bytes on the part of the link that maps
  // may use.
  Duration TransmissionTime(size_t bytes) const;
  void SendQueued();
  std::vector<std::string> ServersIfDue(TimePoint now);

  RankState& state;
  TimePoint sent_at;
  TimePoint servers_sent_at;
  mapswitch::SwitchPhase sent_phase = mapswitch::SwitchPhase::kIdle;
  mapswitch::Version sent_version = 0;
  mapswitch::Step sent_hold_step = 0;
  bool sent_is_aborted = false;
  EncodedMap encoded;
  std::deque<QueuedMap> queue;
  size_t queued_bytes = 0;
  bool is_sending = false;
};

enum class DesiredMapResult { kRefused, kKnown, kNew };

// Applies a desired map that was received, unless it is older than the known
// one.
DesiredMapResult ApplyDesiredMap(RankState& state,
                                 const membership::wire::MapWishT& desired_map,
                                 TimePoint now);

}  // namespace bramleyspan::rankd
