// Queues of waiting requests by class of service, served by stride scheduling
// (Waldspurger and Weihl, 1995): while classes wait, each gets starts in
// proportion to its weight, so urgent classes go first and none starves.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "Kernel/Time.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::admission {

inline constexpr size_t kClasses = 3;

// The properties of a request that admission uses.
struct Request {
  uint64_t id = 0;
  catalogue::ServiceClass service_class = catalogue::ServiceClass::kStandard;
  // The time by which the first token is due.
  TimePoint deadline;
  uint32_t prompt_tokens = 0;
  // Identifies the first part of the prompt; zero for none.
  uint64_t prefix = 0;
};

// Relative shares of the starts while all classes wait: interactive, standard,
// batch.
using ClassWeights = std::array<double, kClasses>;

struct ClassQueues {
  ClassWeights weights{16, 4, 1};
  std::array<std::deque<Request>, kClasses> waiting;
  // The virtual time at which each class may start its next request: the pass
  // value of stride scheduling.
  std::array<double, kClasses> pass{};
  double virtual_time = 0;
  // Decayed counts of recently admitted requests by class, and when they were
  // last decayed.
  std::array<double, kClasses> admitted{};
  TimePoint decayed_at;
};

// The time constant of the admitted counts, which estimate the arrival rate.
inline constexpr Duration kArrivalWindow = std::chrono::seconds(5);

inline size_t IndexOf(catalogue::ServiceClass service_class) {
  return static_cast<size_t>(service_class);
}

size_t CountWaiting(const ClassQueues& queues);

// Counts an admitted request, whether it waits or starts at once.
void RecordAdmitted(ClassQueues& queues,
                    catalogue::ServiceClass service_class,
                    TimePoint now);

void Push(ClassQueues& queues, const Request& request);

// Removes and returns the request that starts next; none if nothing waits.
std::optional<Request> Pop(ClassQueues& queues);

// Removes a waiting request. Returns false if it is not waiting.
bool Remove(ClassQueues& queues, uint64_t id);

// Returns the time in microseconds until a request starts that has `position`
// requests of its own class before it, if one request starts every
// `start_interval_microseconds` and `free_slots` more can start at once. It
// includes expected arrivals of the other classes up to their weights: an
// estimate from the queue alone promises batch requests starts that later
// interactive requests take, and they are then refused close to their
// deadlines.
double WaitMicroseconds(const ClassQueues& queues,
                        catalogue::ServiceClass service_class,
                        size_t position,
                        double free_slots,
                        double start_interval_microseconds);

}  // namespace bramleyspan::admission
