// A clock and timers that a test advances.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "Kernel/EventLoop.h"

namespace bramleyspan::platform {

struct VirtualTime {
  TimePoint now{};
  std::multimap<TimePoint, std::function<void()>> due;

  Timers timers() {
    return {.now = [this] { return this->now; },
            .run_after =
                [this](Duration delay, std::function<void()> callback) {
                  this->due.emplace(this->now + delay, std::move(callback));
                }};
  }

  void RunFor(Duration span) {
    const TimePoint end = this->now + span;
    while (!this->due.empty() && this->due.begin()->first <= end) {
      auto next = this->due.extract(this->due.begin());
      this->now = next.key();
      next.mapped()();
    }
    this->now = end;
  }
};

}  // namespace bramleyspan::platform
