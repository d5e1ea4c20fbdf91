#include "SimulatedRanks.h"

#include <algorithm>

namespace bramleyspan::mapswitch {

namespace {

constexpr Duration kPass = std::chrono::milliseconds(60);
constexpr Duration kCopy = std::chrono::milliseconds(200);

}  // namespace

SimulatedRanks::SimulatedRanks(uint32_t size, uint64_t seed)
    : random(seed),
      ranks(size),
      newest(size, 0),
      contents(size),
      copied_at(size),
      copying(size, 0),
      pass_due(this->now) {
  this->pass_began = this->now;
  for (uint32_t rank = 0; rank < size; ++rank) {
    this->ranks[rank] = {.group = "g",
                         .epoch = 1,
                         .rank = rank,
                         .size = size,
                         .is_open = true,
                         .running = 4};
  }
}

bool SimulatedRanks::Execute(uint32_t rank, const Order& order) {
  RankStatus& own = this->ranks[rank];
  const bool is_expected =
      !this->has_sequences || order.expected_sequence == own.sequence;
  if (order.epoch != own.epoch || !is_expected) {
    return false;
  }
  if (const auto* prepare = std::get_if<Prepare>(&order.body)) {
    if (prepare->version <= this->newest[rank] || own.armed != 0) {
      return false;
    }
    this->newest[rank] = prepare->version;
    this->contents[rank][prepare->version] = prepare->map;
    this->copying[rank] = prepare->version;
    this->copied_at[rank] = this->now + kCopy;
    own.prepared = 0;
  } else if (const auto* arm = std::get_if<Arm>(&order.body)) {
    if (own.prepared != arm->version || arm->step <= this->step) {
      return false;
    }
    own.armed = arm->version;
    own.armed_step = arm->step;
  } else if (const auto* hold = std::get_if<Hold>(&order.body)) {
    if (hold->step <= this->step ||
        (own.held != 0 && !this->is_hold_replaced)) {
      return false;
    }
    own.held = hold->step;
  } else if (const auto* go = std::get_if<Go>(&order.body)) {
    if (own.held != go->step) {
      return false;
    }
    own.held = 0;
  }
  own.sequence += this->has_sequences ? 1 : 0;
  return true;
}

bool SimulatedRanks::Send(uint32_t rank, const Order& order) {
  if (static_cast<int>(this->random() % 100) < this->late_order_percent) {
    const auto delay = std::chrono::milliseconds(50 + this->random() % 4000);
    this->delayed.push_back({this->now + delay, rank, order});
    this->is_answered = false;
    return false;
  }
  const bool is_done = this->Execute(rank, order);
  const bool is_answer_lost =
      static_cast<int>(this->random() % 100) < this->late_order_percent;
  this->is_answered = !is_answer_lost;
  return is_done && !is_answer_lost;
}

void SimulatedRanks::Advance(Duration step_time) {
  this->now += step_time;
  const auto all_delayed = this->delayed;
  this->delayed.clear();
  for (const DelayedOrder& order : all_delayed) {
    if (order.at <= this->now) {
      this->Execute(order.rank, order.order);
    } else {
      this->delayed.push_back(order);
    }
  }
  for (uint32_t rank = 0; rank < this->size(); ++rank) {
    if (this->copying[rank] != 0 && this->copied_at[rank] <= this->now) {
      this->ranks[rank].prepared = std::exchange(this->copying[rank], 0);
    }
  }
  if (this->has_work && this->pass_due <= this->now) {
    this->BeginPass();
  }
}

void SimulatedRanks::BeginPass() {
  const Step next = this->step + 1;
  for (const RankStatus& rank : this->ranks) {
    if (rank.held == next) {
      return;
    }
  }
  this->step = next;
  this->pass_due = this->now + kPass;
  this->longest_pass =
      std::max(this->longest_pass, this->now - this->pass_began);
  this->pass_began = this->now;
  for (RankStatus& rank : this->ranks) {
    rank.step = next;
    if (rank.armed_step == next) {
      rank.map = rank.armed;
      rank.armed = 0;
      rank.armed_step = 0;
      rank.prepared = 0;
    }
  }
  const Version in_force = this->ranks.front().map;
  for (uint32_t rank = 0; rank < this->size(); ++rank) {
    this->is_split =
        this->is_split || this->ranks[rank].map != in_force ||
        this->contents[rank][in_force] != this->contents.front()[in_force];
  }
}

void SimulatedRanks::Restart(uint32_t restarted) {
  for (uint32_t rank = 0; rank < this->size(); ++rank) {
    RankStatus& own = this->ranks[rank];
    ++own.epoch;
    own.map = own.prepared = own.armed = own.armed_step = own.held = 0;
    this->copying[rank] = 0;
    this->contents[rank].clear();
    if (rank == restarted) {
      own.sequence = 0;
      this->newest[rank] = 0;
    }
  }
}

}  // namespace bramleyspan::mapswitch
