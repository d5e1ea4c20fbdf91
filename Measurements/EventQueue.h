// An event queue in virtual time, for measurements. Events run in the order of
// their due times, and of their creation if these are equal.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::measurements {

class EventQueue {
 public:
  TimePoint now() const { return this->current; }

  void At(TimePoint due, std::function<void()> callback) {
    this->events.push({due, ++this->last, std::move(callback)});
  }

  void After(Duration delay, std::function<void()> callback) {
    this->At(this->current + delay, std::move(callback));
  }

  // Runs the events that are due before `end`, and sets the time to `end`.
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().due < end) {
      Event event = this->events.top();
      this->events.pop();
      this->current = event.due;
      event.callback();
    }
    this->current = end;
  }

 private:
  struct Event {
    TimePoint due;
    uint64_t order = 0;
    std::function<void()> callback;

    bool operator<(const Event& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  TimePoint current{};
  uint64_t last = 0;
  std::priority_queue<Event> events;
};

}  // namespace bramleyspan::measurements
