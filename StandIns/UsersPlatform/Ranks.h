// A group of the users' model servers: ranks that begin each pass together,
// with expert maps that they switch by orders. It counts violations of the
// invariant that the system must keep: no pass begins while two ranks have
// different maps.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/UsersPlatform/Crashes.h"
#include "StandIns/UsersPlatform/Signals.h"
#include "StandIns/UsersPlatform/Store.h"

namespace bramleyspan::standins {

constexpr uint32_t kSets = 2;
constexpr uint32_t kExperts = 8;
constexpr uint32_t kExpertSlots = 6;

// Lists of experts, indexed by set and rank.
using MapLists = std::vector<std::vector<std::vector<uint16_t>>>;

struct RunningStream {
  ExchangePointer exchange;
  std::string attempt;
  uint64_t next_event = 1;
  uint64_t last_event = 0;
  std::string body;
  // Whether a pass has begun with it; until then it is queued.
  bool is_running = false;
  // When the rank ends under it.
  std::optional<TimePoint> ends_rank_at;
};

struct StandInRank {
  std::string id;
  std::string address;
  bool is_down = false;
  // What freezes the rank's server: "stream", the next one that it gets, or
  // "hold", the next one of the group; empty if nothing does.
  std::string freezes_at;
  // A frozen server takes requests and answers none, while the group goes on.
  bool is_frozen = false;
  std::vector<ExchangePointer> unanswered;
  // The process of the rank's agent that is stopped by the next hold of the
  // group, as if its machine froze; 0 for none.
  int stops_at_hold = 0;
  uint64_t sequence = 0;
  uint64_t map_version = 0;
  MapLists map;
  uint64_t prepared = 0;
  MapLists prepared_map;
  TimePoint copied_at;
  uint64_t newest = 0;
  uint64_t armed = 0;
  uint64_t armed_step = 0;
  uint64_t held = 0;
  std::vector<uint64_t> counts =
      std::vector<uint64_t>(size_t{kSets} * kExperts, 0);
  std::map<uint64_t, RunningStream> streams;
};

struct StandInGroup {
  std::vector<StandInRank> ranks;
  // Advances when the group opens again after a rank had ended.
  uint64_t epoch = 1;
  TimePoint broken_at;
  TimePoint opens_at;
  uint64_t step = 0;
  uint64_t last_stream = 0;
  // Passes that began while two ranks had different maps.
  uint64_t splits = 0;
  uint64_t switches = 0;
  // Orders of this kind are dropped without an answer; arm orders only at the
  // last rank.
  std::string lost_order;
  // What each rank reports as the state of the group.
  std::string state = "open";
  // No pass begins before this.
  TimePoint paused_until;
  // How often each attempt began to run, at the ranks and at plain servers.
  std::map<std::string, uint64_t>* runs = nullptr;
  Signals* signals = nullptr;
  Crashes* crashes = nullptr;
  // Ends a rank at once, under a stream with this body.
  std::function<void(StandInRank&, const std::string& body)> stop_rank;
};

StandInGroup MakeGroup(const std::vector<std::string>& addresses);

// Begins the next pass, unless a rank holds the group before it or no stream is
// running.
void BeginPass(StandInGroup& group);

// Ends the ranks whose time has come under streams with the killing part.
void EndRanksUnderStreams(StandInGroup& group);

// The group stops as one of its ranks ends; streams at the others are cut after
// a while, and new requests are rejected. It opens again some time after all
// ranks are back.
void BreakGroup(StandInGroup& group, StandInRank& rank);
void ReturnRank(StandInGroup& group, StandInRank& rank);

// Cuts all running streams in the middle of their answers.
void CutStreams(StandInGroup& group);

// Freezes the ranks that an event of this kind freezes.
void FreezeAt(StandInGroup& group, const std::string& event);

void HandleRankCall(StandInGroup& group,
                    StandInRank& rank,
                    const http::IngressRequest& request,
                    const ExchangePointer& exchange);

}  // namespace bramleyspan::standins
