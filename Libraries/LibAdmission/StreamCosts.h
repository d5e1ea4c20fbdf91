// Tracks how much a running stream adds to the duration of a pass, and the peak
// of this cost over the last few stream lifetimes. It bounds the load near
// capacity while demand shifts.
//
// Without the peak, passes are short enough for many streams to run, demand
// shifts, and each pass exceeds the longest pause until copies arrive. Where
// demand shifts every few seconds, most streams live through a shift and are
// late.
#pragma once

#include <cstdint>
#include <deque>

#include "Kernel/Time.h"

namespace bramleyspan::admission {

struct ObservedCost {
  double seconds = 0;
  TimePoint at;
};

struct StreamCosts {
  // Running streams, and reservations per second, averaged over the last
  // seconds.
  double mean_running = 0;
  double reservations_per_second = 0;
  // Reservations since the last report.
  uint32_t new_reservations = 0;
  // The highest costs of the last seconds in descending order; each is newer
  // than the one before it.
  std::deque<ObservedCost> peaks;
};

// The observations of one report.
struct CostSample {
  uint32_t running = 0;
  // The duration of passes beyond that of a pass with hardly any work; zero if
  // too few passes were observed.
  Duration excess{};
  // The time since the last report.
  Duration elapsed{};
  // The number of running streams that a cost is divided by at least: a rank
  // with fewer has less load than its group, whose passes it shares.
  double min_running = 1;
};

// Adds a sample to the averages and, if it shows a cost, to the peaks.
void RecordCost(StreamCosts& costs, const CostSample& sample, TimePoint now);

// Returns the highest cost of a stream over the last few stream lifetimes, in
// seconds of a pass; zero if none is known.
double PeakCostOf(const StreamCosts& costs, TimePoint now);

}  // namespace bramleyspan::admission
