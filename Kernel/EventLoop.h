// The event loop of a process: h2o's loop with one-shot timers and signals.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "Kernel/H2o.h"
#include "Kernel/Time.h"

namespace bramleyspan {

// Identifies a scheduled timer. Zero is never a valid timer.
using TimerId = uint64_t;

// Runs the callbacks of sockets, timers and signals on the thread that calls
// Run.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the underlying h2o loop.
  h2o_loop_t* raw() const { return this->loop; }

  // Returns the current monotonic time, which includes time in suspend.
  static TimePoint Now();

  // Calls `callback` once, after at least `delay`. Returns the id for Cancel.
  TimerId RunAfter(Duration delay, std::function<void()> callback);

  // Removes a timer. Does nothing if it has already fired.
  void Cancel(TimerId id);

  // Calls `callback` from the loop on SIGTERM or SIGINT.
  void OnStopSignal(std::function<void()> callback);

  // Calls `callback` from the loop on SIGHUP.
  void OnReloadSignal(std::function<void()> callback);

  // Handles events until Stop is called.
  void Run();

  // Makes Run return after the current callback.
  void Stop() { this->is_stopped = true; }

  // Destroys the timers with all that their callbacks own, also those that are
  // added meanwhile, and runs none.
  void RemoveTimers();

 private:
  // An entry of h2o's timeouts with a pointer to its loop.
  struct TimerEntry {
    h2o_timeout_entry_t super;
    EventLoop* owner;
  };

  void RunDueTimers();
  void WatchSignals(const std::vector<int>& numbers,
                    std::function<void()>* callback);
  int32_t MillisecondsToNextTimer() const;

  h2o_loop_t* loop = nullptr;
  // A timeout of h2o that is due at once. It runs the timers below.
  h2o_timeout_t h2o_timeout{};
  TimerEntry h2o_entry{};
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers;
  std::map<TimerId, TimePoint> due_times;
  std::function<void()> stop_callback;
  std::function<void()> reload_callback;
  TimerId last_timer = 0;
  bool is_stopped = false;
};

// The clock and timer functions of an event loop. Tests substitute simulated
// time.
struct Timers {
  std::function<TimePoint()> now;
  std::function<void(Duration, std::function<void()>)> run_after;
};

// Returns functions that use `loop`, which must outlive them.
Timers TimersOf(EventLoop& loop);

}  // namespace bramleyspan
