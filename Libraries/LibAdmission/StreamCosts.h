// What a running stream adds to a pass, and what it added at the worst moment
// of the last few lives of a stream. Answers load near capacity under demand
// that jumps.
//
// Failure: passes are short enough for many streams to run, demand jumps, and
// until copies are there each pass is longer than a pause may be. Where jumps
// come every few seconds, most streams live to see one and are late.
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
  // Running streams and places taken in a second, averaged over the last
  // seconds.
  double mean_running = 0;
  double reservations_per_second = 0;
  // Places taken since the last report.
  uint32_t new_reservations = 0;
  // The dearest streams of the last seconds, the dearest first; each is newer
  // than the one before it.
  std::deque<ObservedCost> peaks;
};

// What a report shows.
struct CostSample {
  uint32_t running = 0;
  // What passes took beyond one with hardly anything to do; zero if too few
  // were seen to tell.
  Duration excess{};
  // Since the last report.
  Duration elapsed{};
  // Streams that a rank runs at least if its load is like its group's.
  double min_running = 1;
};

void RecordCost(StreamCosts& costs, const CostSample& sample, TimePoint now);

// The dearest stream of the last few lives of one, in seconds of a pass; zero
// if nothing is known.
double PeakCostOf(const StreamCosts& costs, TimePoint now);

}  // namespace bramleyspan::admission
