// Simulates a rank group in virtual time with the daemon's own state machines:
// messages are late, lost and repeated, agents freeze and fail, and orders of
// failed agents are still in flight to their engine.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibExpertMap/MapOwner.h"
#include "LibExpertMap/MapRank.h"

namespace bramleyspan::expertmap::tests {

// An engine that accepts orders from any sender, whatever their age, and
// ignores fencing tokens.
struct SimulatedEngine {
  EngineStatus status;
  // First step of each scheduled map. An engine retains only the newest map and
  // the previous one.
  std::map<Step, MapVersion> schedule;
  // The map used in each step begun.
  std::map<Step, MapVersion> map_by_step;
};

// An order in flight to the engine; `sender` is the start count of the rank's
// agent.
struct WireOrder {
  EngineOrder order;
  uint64_t sender = 0;
};

struct SimulatedRank {
  MapRank agent;
  uint64_t start_count = 0;
  bool is_frozen = false;
  SimulatedEngine engine;
  std::deque<WireOrder> wire;
  std::deque<MapOrder> orders;
};

// Events of the generated interleavings; one per step of the simulation.
enum class EventKind : uint8_t {
  kDeliverOrder,
  kDeliverToEngine,
  kDeliverReport,
  kBeginStep,
  kAnswerLog,
  kLoseOrder,
  kRepeatOrder,
  kReorderOnWire,
  kLoseReport,
  kRepeatReport,
  kLoseLogReply,
  kFreeze,
  kResume,
  kKillRank,
  kTick,
  kPropose,
  kLoseAnswer,
};
inline constexpr size_t kEventKinds = 17;

struct SimulatedGroup {
  explicit SimulatedGroup(size_t rank_count, Step window);

  void Apply(EventKind event, size_t rank);
  // Runs this many rounds without faults.
  void RunWithoutFaults(int rounds);

  MapOwner owner;
  std::vector<SimulatedRank> ranks;
  std::deque<MapReport> reports;
  std::deque<OwnerEffect> log_calls;
  StoredLog stored;
  TimePoint now{};
  Step window = 0;
  uint64_t proposal_count = 0;
  uint64_t owner_start_count = 0;
  // The map that the first rank to begin a step used. A rank that uses another
  // map in the same step sets `is_split`.
  std::map<Step, MapVersion> first_map_by_step;
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
  bool ApplyOrder(SimulatedEngine& engine, const EngineOrder& order) const;
};

}  // namespace bramleyspan::expertmap::tests
