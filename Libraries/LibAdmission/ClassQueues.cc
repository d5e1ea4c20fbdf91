#include "LibAdmission/ClassQueues.h"

#include <algorithm>
#include <cmath>

namespace bramleyspan::admission {

namespace {

// Iterations of the fixed point in WaitMicroseconds. Each adds the arrivals
// expected during the wait that the previous one found.
constexpr int kMaxIterations = 12;

}  // namespace

size_t CountWaiting(const ClassQueues& queues) {
  size_t count = 0;
  for (const auto& queue : queues.waiting) {
    count += queue.size();
  }
  return count;
}

void RecordAdmitted(ClassQueues& queues,
                    catalogue::ServiceClass service_class,
                    TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - queues.decayed_at) /
      std::chrono::duration<double>(kArrivalWindow);
  for (double& count : queues.admitted) {
    count *= std::exp(-elapsed);
  }
  queues.decayed_at = now;
  queues.admitted[IndexOf(service_class)] += 1;
}

void Push(ClassQueues& queues, const Request& request) {
  const size_t index = IndexOf(request.service_class);
  if (queues.waiting[index].empty()) {
    // An idle class must not accumulate a claim to the next starts: otherwise
    // batch would take every slot in the morning after a night without batch
    // requests.
    queues.pass[index] = std::max(queues.pass[index], queues.virtual_time);
  }
  queues.waiting[index].push_back(request);
}

std::optional<Request> Pop(ClassQueues& queues) {
  std::optional<size_t> next;
  for (size_t index = 0; index < kClasses; ++index) {
    if (!queues.waiting[index].empty() &&
        (!next || queues.pass[index] < queues.pass[*next])) {
      next = index;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  queues.virtual_time = queues.pass[*next];
  queues.pass[*next] += 1 / queues.weights[*next];
  const Request request = queues.waiting[*next].front();
  queues.waiting[*next].pop_front();
  return request;
}

bool Remove(ClassQueues& queues, uint64_t id) {
  for (auto& queue : queues.waiting) {
    if (std::erase_if(queue, [id](const Request& request) {
          return request.id == id;
        }) > 0) {
      return true;
    }
  }
  return false;
}

double WaitMicroseconds(const ClassQueues& queues,
                        catalogue::ServiceClass service_class,
                        size_t position,
                        double free_slots,
                        double start_interval_microseconds) {
  const size_t own = IndexOf(service_class);
  const double own_starts = static_cast<double>(position) + 1;
  const auto window = static_cast<double>(kArrivalWindow.count());
  double wait = 0;
  for (int iteration = 0; iteration < kMaxIterations; ++iteration) {
    double starts = own_starts;
    for (size_t index = 0; index < kClasses; ++index) {
      if (index == own) {
        continue;
      }
      const double max_starts =
          own_starts * queues.weights[index] / queues.weights[own];
      const double competing =
          static_cast<double>(queues.waiting[index].size()) +
          queues.admitted[index] * wait / window;
      starts += std::min(competing, max_starts);
    }
    const double next =
        std::max(0.0, starts - free_slots) * start_interval_microseconds;
    if (next <= wait) {
      break;
    }
    wait = next;
  }
  return wait;
}

}  // namespace bramleyspan::admission
