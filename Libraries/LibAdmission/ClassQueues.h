// Waiting requests by class of service, served by stride scheduling
// (Waldspurger and Weihl, 1995): each class gets starts in proportion to its
// weight while it waits, so that an urgent class goes first and none starves.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "Kernel/Time.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::admission {

inline constexpr size_t kClasses = 3;

// A request as admission sees it.
struct Request {
  uint64_t id = 0;
  catalogue::ServiceClass service_class = catalogue::ServiceClass::kStandard;
  // When the first token has to be there.
  TimePoint deadline;
  uint32_t prompt_tokens = 0;
  // Names the first part of the prompt; zero names none.
  uint64_t prefix = 0;
};

// Shares of the starts while all classes wait: interactive, standard, batch.
using ClassWeights = std::array<double, kClasses>;

struct ClassQueues {
  ClassWeights weights{16, 4, 1};
  std::array<std::deque<Request>, kClasses> waiting;
  // The virtual time at which a class may start its next request.
  std::array<double, kClasses> pass{};
  double virtual_time = 0;
  // Decayed counts of what was taken lately, and when they were decayed.
  std::array<double, kClasses> admitted{};
  TimePoint decayed_at;
};

// Over this time what was taken counts for the rate of arrivals.
inline constexpr Duration kArrivalWindow = std::chrono::seconds(5);

inline size_t IndexOf(catalogue::ServiceClass service_class) {
  return static_cast<size_t>(service_class);
}

size_t CountWaiting(const ClassQueues& queues);

// Notes that a request was taken, whether it waits or starts at once.
void RecordAdmitted(ClassQueues& queues,
                    catalogue::ServiceClass service_class,
                    TimePoint now);

void Push(ClassQueues& queues, const Request& request);

// Takes the request that starts next.
std::optional<Request> Pop(ClassQueues& queues);

// Forgets a waiting request. Returns false if it does not wait.
bool Remove(ClassQueues& queues, uint64_t id);

// The time until a request starts that has `position` requests of its own class
// before it, if a start takes place every `start_interval` and `free_slots` can
// be started at once. What more urgent classes will take meanwhile counts: an
// estimate from the queue alone promises batch a place that later interactive
// requests take, and batch is then given up on near its deadline.
double WaitMicroseconds(const ClassQueues& queues,
                        catalogue::ServiceClass service_class,
                        size_t position,
                        double free_slots,
                        double start_interval_microseconds);

}  // namespace bramleyspan::admission
