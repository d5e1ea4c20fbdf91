// The single event loop of a process: h2o's loop plus one-shot timers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "Kernel/H2o.h"
#include "Kernel/Time.h"

namespace bramleyspan {

// Names a scheduled timer; zero names none.
using TimerId = uint64_t;

// Runs callbacks of sockets and timers on the calling thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The loop as h2o's functions take it.
  h2o_loop_t* raw() const { return this->loop; }

  // The monotonic time now, which goes on while the machine is suspended.
  static TimePoint Now();

  // Calls `callback` once, not before `delay` has passed.
  TimerId RunAfter(Duration delay, std::function<void()> callback);

  // Forgets a timer; harmless when it has fired already.
  void Cancel(TimerId id);

  // Calls `callback` for SIGTERM and SIGINT from inside the loop.
  void OnStopSignal(std::function<void()> callback);

  // Calls `callback` for SIGHUP from inside the loop.
  void OnReloadSignal(std::function<void()> callback);

  // Serves events until Stop.
  void Run();

  // Makes Run return after the current callback.
  void Stop() { this->is_stopped = true; }

 private:
  bool RunDueTimers();
  void WatchSignals(const std::vector<int>& numbers,
                    std::function<void()>* callback);
  int32_t MillisecondsToNextTimer() const;

  h2o_loop_t* loop = nullptr;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers;
  std::map<TimerId, TimePoint> due_times;
  std::function<void()> stop_callback;
  std::function<void()> reload_callback;
  TimerId last_timer = 0;
  bool is_stopped = false;
};

// What a part that waits needs of a loop; tests pass time themselves.
struct Timers {
  std::function<TimePoint()> now;
  std::function<void(Duration, std::function<void()>)> run_after;
};

Timers TimersOf(EventLoop& loop);

}  // namespace bramleyspan
