// A group of ranks as the platform's pages describe them, with a network that
// loses orders' answers and carries orders out late.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "LibMapSwitch/Switch.h"

namespace bramleyspan::mapswitch {

class SimulatedRanks {
 public:
  explicit SimulatedRanks(uint32_t size, uint64_t seed);

  // Carries an order out now. False stands for a refusal.
  bool Execute(uint32_t rank, const Order& order);

  // Sends an order: it may be done at once, done with its answer lost, or done
  // late. True if an answer says that it was accepted.
  bool Send(uint32_t rank, const Order& order);

  // Time passes: late orders arrive, copies end, passes begin.
  void Advance(Duration step);

  // A rank restarts: the group is formed anew.
  void Restart(uint32_t rank);

  const RankStatus& status(uint32_t rank) const { return this->ranks[rank]; }
  uint32_t size() const { return static_cast<uint32_t>(this->ranks.size()); }

  // Whether a pass ever began while two ranks had different maps, by version or
  // by content.
  bool is_split = false;
  Step step = 0;
  TimePoint now{std::chrono::seconds(1000)};
  // Out of 100 orders.
  int late_orders = 0;
  bool has_work = true;
  // Some servers count only orders of other kinds, so that an expected sequence
  // refuses nothing.
  bool has_sequences = true;
  // Whether a second hold replaces the first or is refused.
  bool is_hold_replaced = false;

 private:
  struct LateOrder {
    TimePoint at;
    uint32_t rank;
    Order order;
  };
  void BeginPass();

  std::mt19937_64 random;
  std::vector<RankStatus> ranks;
  std::vector<Version> newest;
  // By rank: what a map of a version holds, as it was ordered there.
  std::vector<std::map<Version, ExpertLists>> contents;
  std::vector<TimePoint> copied_at;
  std::vector<Version> copying;
  std::deque<LateOrder> late;
  TimePoint pass_due;
};

}  // namespace bramleyspan::mapswitch
