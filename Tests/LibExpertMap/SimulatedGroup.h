// A rank group in virtual time around the very state machines of the daemon:
// messages that are late, lost and seen twice, agents that freeze and die,
// orders of dead agents that are still on the wire to their engine.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibExpertMap/MapOwner.h"
#include "LibExpertMap/MapRank.h"

namespace bramleyspan::expertmap::tests {

// An engine by the same rules as StandIns/EngineRank: it takes orders from
// anyone, whatever their age, and ignores fencing numbers.
struct SimulatedEngine {
  EngineStatus status;
  // The schedule: from which step on each map holds. An engine remembers the
  // newest map and the one before it, no more.
  std::map<Step, MapVersion> schedule;
  // Every step begun, with the map that was used.
  std::map<Step, MapVersion> record;
};

// An order on the wire; `sender` counts the starts of the rank's agent.
struct WireOrder {
  EngineOrder order;
  uint64_t sender = 0;
};

struct SimulatedRank {
  MapRank agent;
  uint64_t starts = 0;
  bool is_frozen = false;
  SimulatedEngine engine;
  std::deque<WireOrder> wire;
  std::deque<MapOrder> orders;
};

// What the generated interleavings do; one a step of the simulation.
enum class Happening : uint8_t {
  kDeliverOrder,
  kDeliverToEngine,
  kDeliverReport,
  kBeginStep,
  kAnswerLog,
  kLoseOrder,
  kRepeatOrder,
  kSwapOnWire,
  kLoseReport,
  kRepeatReport,
  kLoseLogReply,
  kFreeze,
  kWake,
  kKillRank,
  kTick,
  kPropose,
  kLoseAnswer,
};
inline constexpr size_t kHappenings = 17;

struct SimulatedGroup {
  explicit SimulatedGroup(size_t rank_count, Step window);

  void Do(Happening happening, size_t rank);
  // Serves everything without faults until nothing changes for a while.
  void Settle(int rounds);

  MapOwner owner;
  std::vector<SimulatedRank> ranks;
  std::deque<MapReport> reports;
  std::deque<OwnerEffect> log_calls;
  StoredLog stored;
  TimePoint now{};
  Step window = 0;
  uint64_t proposals = 0;
  uint64_t owner_starts = 0;
  // The map that the first rank to begin a step used; a different one later
  // is the failure.
  std::map<Step, MapVersion> ran;
  bool is_split = false;

 private:
  void Perform(OwnerEffects effects);
  void Perform(size_t rank, RankEffects effects);
  void StartOwnerProcess();
  void KillRank(size_t rank);
  void DeliverOrder(size_t rank);
  void DeliverToEngine(size_t rank);
  void LoseAnswer(size_t rank);
  void DeliverReport();
  void BeginStep(size_t rank);
  void AnswerLog(bool is_reply_lost);
  bool Obey(SimulatedEngine& engine, const EngineOrder& order) const;
};

}  // namespace bramleyspan::expertmap::tests
