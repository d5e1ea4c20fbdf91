#include "Kernel/EventLoop.h"

#include <sys/signalfd.h>

#include <algorithm>
#include <csignal>

namespace bramleyspan {

namespace {

constexpr int32_t kLongestWaitInMilliseconds = 1000;

}  // namespace

EventLoop::EventLoop() : loop(h2o_evloop_create()) {
  // A peer that closes its socket must show as a write error, not as a signal
  // that ends the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
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

void EventLoop::OnStopSignal(std::function<void()> callback) {
  this->stop_callback = std::move(callback);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  h2o_socket_t* socket = h2o_evloop_socket_create(this->loop, descriptor, 0);
  socket->data = this;
  h2o_socket_read_start(socket, [](h2o_socket_t* source, const char*) {
    h2o_buffer_consume(&source->input, source->input->size);
    static_cast<EventLoop*>(source->data)->stop_callback();
  });
}

void EventLoop::Run() {
  this->is_stopped = false;
  while (!this->is_stopped) {
    h2o_evloop_run(this->loop, this->MillisecondsToNextTimer());
    this->RunDueTimers();
  }
}

void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  while (!this->is_stopped && !this->timers.empty()) {
    const auto first = this->timers.begin();
    if (first->first.first > now) {
      return;
    }
    std::function<void()> callback = std::move(first->second);
    this->due_times.erase(first->first.second);
    this->timers.erase(first);
    callback();
  }
}

int32_t EventLoop::MillisecondsToNextTimer() const {
  if (this->timers.empty()) {
    return kLongestWaitInMilliseconds;
  }
  const auto wait = this->timers.begin()->first.first - Now();
  const auto rounded_up =
      std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  return static_cast<int32_t>(
      std::clamp<int64_t>(rounded_up, 0, kLongestWaitInMilliseconds));
}

}  // namespace bramleyspan
