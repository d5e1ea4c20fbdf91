#include "Kernel/EventLoop.h"

#include <sys/signalfd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

namespace bramleyspan {

namespace {

constexpr int32_t kMaxWaitMilliseconds = 1000;

}  // namespace

EventLoop::EventLoop() : loop(h2o_evloop_create()) {
  // A write to a socket that the peer has closed must fail with an error. By
  // default SIGPIPE ends the process.
  std::signal(SIGPIPE, SIG_IGN);
  h2o_timeout_init(this->loop, &this->h2o_timeout, 0);
  this->h2o_entry.owner = this;
  this->h2o_entry.super.cb = [](h2o_timeout_entry_t* entry) {
    reinterpret_cast<TimerEntry*>(entry)->owner->RunDueTimers();
  };
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::Now() {
  // CLOCK_MONOTONIC, behind std::chrono::steady_clock, stops while a machine is
  // suspended, so leases and deadlines would appear valid after they expire.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

TimerId EventLoop::RunAfter(Duration delay, std::function<void()> callback) {
  const TimerId id = ++this->last_timer;
  const TimePoint due = Now() + delay;
  this->timers.emplace(std::pair(due, id), std::move(callback));
  this->due_times.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId id) {
  const auto found = this->due_times.find(id);
  if (found == this->due_times.end()) {
    return;
  }
  this->timers.erase(std::pair(found->second, id));
  this->due_times.erase(found);
}

void EventLoop::RemoveTimers() {
  while (!this->timers.empty()) {
    this->due_times.clear();
    const auto removed = std::exchange(this->timers, {});
  }
}

void EventLoop::OnStopSignal(std::function<void()> callback) {
  this->stop_callback = std::move(callback);
  this->WatchSignals({SIGTERM, SIGINT}, &this->stop_callback);
}

void EventLoop::OnReloadSignal(std::function<void()> callback) {
  this->reload_callback = std::move(callback);
  this->WatchSignals({SIGHUP}, &this->reload_callback);
}

void EventLoop::WatchSignals(const std::vector<int>& numbers,
                             std::function<void()>* callback) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers) {
    sigaddset(&signals, number);
  }
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  h2o_socket_t* socket = h2o_evloop_socket_create(this->loop, descriptor, 0);
  socket->data = callback;
  h2o_socket_read_start(socket, [](h2o_socket_t* source, const char*) {
    h2o_buffer_consume(&source->input, source->input->size);
    (*static_cast<std::function<void()>*>(source->data))();
  });
}

void EventLoop::Run() {
  this->is_stopped = false;
  while (!this->is_stopped) {
    h2o_evloop_run(this->loop, this->MillisecondsToNextTimer());
    // The due timers run as a timeout of h2o, which handles what they have
    // written before it polls again. A write from outside of h2o stays pending
    // over the next poll. It ends up to kMaxWaitMilliseconds late; and as h2o
    // takes 256 events at a time, the event that shows its socket as writable
    // may come after the write has ended, at which h2o aborts.
    h2o_timeout_link(this->loop, &this->h2o_timeout, &this->h2o_entry.super);
    h2o_timeout_run(this->loop, &this->h2o_timeout, h2o_now(this->loop));
  }
}

void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  while (!this->is_stopped && !this->timers.empty()) {
    const auto first = this->timers.begin();
    if (first->first.first > now) {
      break;
    }
    std::function<void()> callback = std::move(first->second);
    this->due_times.erase(first->first.second);
    this->timers.erase(first);
    callback();
  }
}

int32_t EventLoop::MillisecondsToNextTimer() const {
  if (this->timers.empty()) {
    return kMaxWaitMilliseconds;
  }
  const auto wait = this->timers.begin()->first.first - Now();
  const auto rounded_up =
      std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  return static_cast<int32_t>(
      std::clamp<int64_t>(rounded_up, 0, kMaxWaitMilliseconds));
}

Timers TimersOf(EventLoop& loop) {
  return {.now = [] { return EventLoop::Now(); },
          .run_after =
              [&loop](Duration delay, std::function<void()> callback) {
                loop.RunAfter(delay, std::move(callback));
              }};
}

}  // namespace bramleyspan
