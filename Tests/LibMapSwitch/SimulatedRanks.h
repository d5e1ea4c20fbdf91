// A simulated group of ranks that behave as the platform's documentation says,
// with a network that loses the answers to orders and delays orders.
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

  // Carries an order out now. Returns false if the rank refuses it.
  bool Execute(uint32_t rank, const Order& order);

  // Sends an order, which may be carried out at once, carried out with its
  // answer lost, or carried out late. Returns true if an answer says that it
  // was accepted.
  bool Send(uint32_t rank, const Order& order);

  // Advances the clock: delayed orders arrive, copies end, passes begin.
  void Advance(Duration step);

  // Restarts a rank, so that the group is re-formed.
  void Restart(uint32_t rank);

  const RankStatus& status(uint32_t rank) const { return this->ranks[rank]; }
  uint32_t size() const { return static_cast<uint32_t>(this->ranks.size()); }

  // Whether a pass ever began while two ranks had different maps, by version or
  // by content.
  bool is_split = false;
  // Whether the last order that was sent was answered.
  bool is_answered = true;
  Step step = 0;
  TimePoint pass_began;
  // The longest time between the beginnings of two passes.
  Duration longest_pass{};
  TimePoint now{std::chrono::seconds(1000)};
  int late_order_percent = 0;
  bool has_work = true;
  // Some servers count only orders of other kinds, so that an expected sequence
  // never causes a refusal.
  bool has_sequences = true;
  // Whether a second hold replaces the first or is refused.
  bool is_hold_replaced = false;

 private:
  struct DelayedOrder {
    TimePoint at;
    uint32_t rank;
    Order order;
  };
  void BeginPass();

  std::mt19937_64 random;
  std::vector<RankStatus> ranks;
  std::vector<Version> newest;
  // By rank and version: the map as it was ordered there.
  std::vector<std::map<Version, ExpertLists>> contents;
  std::vector<TimePoint> copied_at;
  std::vector<Version> copying;
  std::deque<DelayedOrder> delayed;
  TimePoint pass_due;
};

}  // namespace bramleyspan::mapswitch
