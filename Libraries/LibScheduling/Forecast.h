// Estimates how long a stream waits for a permit, from what the agents of a few
// ranks say in their offers. It answers load above what the groups of a service
// can serve: a stream whose turn would come too late is rejected at once, so
// that its caller need not wait for that.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibScheduling/StreamClass.h"

namespace bramleyspan::scheduling {

// What an offer says of its rank and of the fleet.
struct RankReport {
  std::string rank;
  std::vector<ClassCount> waiting;
  std::vector<ClassRate> granted;
  TimePoint at;
};

// What is known of one service.
struct Forecast {
  // The oldest first, one for each rank.
  std::deque<RankReport> reports;
};

// Replaces the report of the rank.
void RecordReport(Forecast& forecast, RankReport report);

// Returns how long a stream of the class that arrives now waits for its permit
// if `ranks` ranks grant permits; the class and all that come after it share
// what more urgent ones leave. Duration::max() if none of these was granted a
// permit lately. Nothing if too few ranks have reported.
std::optional<Duration> ExpectedWait(const Forecast& forecast,
                                     const StreamClass& stream_class,
                                     size_t ranks,
                                     TimePoint now);

// A stream without a permit.
struct PendingStream {
  int32_t priority = 0;
  // For how long a stream of its kind can wait and be in time.
  Duration in_time_wait{};
  // When its gateway rejects it.
  TimePoint ends;
};

// Whether streams of this priority that can be in time wait for longer than
// that, so that a stream gets a permit neither in time nor, behind them, late.
bool is_unservable(const Forecast& forecast,
                   const PendingStream& stream,
                   size_t ranks,
                   TimePoint now);

// Returns after what time a permit is free for a caller that is rejected now
// and returns, which counts as late. Nothing if that is not known.
std::optional<Duration> TimeUntilPermit(const Forecast& forecast,
                                        int32_t priority,
                                        size_t ranks,
                                        TimePoint now);

}  // namespace bramleyspan::scheduling
