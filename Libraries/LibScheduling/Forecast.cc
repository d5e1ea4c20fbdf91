#include "LibScheduling/Forecast.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::scheduling {

namespace {

constexpr Duration kLifetime = std::chrono::seconds(1);
// A few ranks say little of all of them.
constexpr size_t kMinReports = 4;
constexpr size_t kMaxReports = 64;

std::vector<const RankReport*> FreshReports(const Forecast& forecast,
                                            TimePoint now) {
  std::vector<const RankReport*> fresh;
  for (const RankReport& report : forecast.reports) {
    if (now - report.at <= kLifetime && !report.granted.empty()) {
      fresh.push_back(&report);
    }
  }
  return fresh;
}

// Returns the permits a second that a rank grants to the class and to all that
// come after it.
double RateFrom(const RankReport& report, const StreamClass& stream_class) {
  double rate = 0;
  for (const ClassRate& granted : report.granted) {
    rate += granted.stream_class >= stream_class ? granted.per_second : 0;
  }
  return rate;
}

uint32_t CountOf(const RankReport& report, const StreamClass& stream_class) {
  const auto found = std::ranges::find(report.waiting, stream_class,
                                       &ClassCount::stream_class);
  return found == report.waiting.end() ? 0 : found->count;
}

}  // namespace

void RecordReport(Forecast& forecast, RankReport report) {
  std::erase_if(forecast.reports, [&report](const RankReport& known) {
    return known.rank == report.rank || report.at - known.at > kLifetime;
  });
  if (forecast.reports.size() == kMaxReports) {
    forecast.reports.pop_front();
  }
  forecast.reports.push_back(std::move(report));
}

std::optional<Duration> ExpectedWait(const Forecast& forecast,
                                     const StreamClass& stream_class,
                                     size_t ranks,
                                     TimePoint now) {
  const auto reports = FreshReports(forecast, now);
  if (reports.size() < std::min(kMinReports, ranks) || reports.empty()) {
    return std::nullopt;
  }
  double rate = 0;
  // An agent has not heard of all gateways, so that the highest count is the
  // best one.
  uint32_t waiting = 0;
  for (const RankReport* report : reports) {
    rate += RateFrom(*report, stream_class);
    waiting = std::max(waiting, CountOf(*report, stream_class));
  }
  rate *= static_cast<double>(ranks) / static_cast<double>(reports.size());
  if (rate <= 0) {
    return Duration::max();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(waiting / rate));
}

bool is_unservable(const Forecast& forecast,
                   const PendingStream& stream,
                   size_t ranks,
                   TimePoint now) {
  const auto in_time =
      ExpectedWait(forecast, {.priority = stream.priority}, ranks, now);
  const auto late = ExpectedWait(
      forecast, {.priority = stream.priority, .is_late = true}, ranks, now);
  return in_time && late && *in_time > stream.in_time_wait &&
         *late > stream.ends - now;
}

std::optional<Duration> TimeUntilPermit(const Forecast& forecast,
                                        int32_t priority,
                                        size_t ranks,
                                        TimePoint now) {
  return ExpectedWait(forecast, {.priority = priority, .is_late = true}, ranks,
                      now);
}

}  // namespace bramleyspan::scheduling
