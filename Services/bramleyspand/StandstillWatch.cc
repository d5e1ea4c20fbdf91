#include "Services/bramleyspand/StandstillWatch.h"

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"

namespace bramleyspan {

namespace {

constexpr telemetry::MetricName kStoodTime{
    "bramleyspan_process_stood_seconds",
    "Times for which this process did nothing, of over 0.4 s each: its VM was "
    "frozen, or one turn of its loop took long."};

constexpr Duration kInterval = std::chrono::milliseconds(100);
// Shorter gaps come from timers that fire late.
constexpr Duration kShortestStandstill = std::chrono::milliseconds(400);

void Watch(EventLoop& loop, const std::string& server, TimePoint last) {
  loop.RunAfter(kInterval, [&loop, server, last] {
    const TimePoint now = EventLoop::Now();
    const Duration stood = now - last;
    if (stood > kShortestStandstill) {
      telemetry::Observe(kStoodTime, {}, stood);
      telemetry::Log(telemetry::LogLevel::kWarning, "main", "process_stood",
                     {{"server", server},
                      {"for_ms", std::to_string(stood.count() / 1000)}});
    }
    Watch(loop, server, now);
  });
}

}  // namespace

void WatchStandstills(EventLoop& loop, const std::string& server) {
  Watch(loop, server, EventLoop::Now());
}

}  // namespace bramleyspan
