#include "Services/bramleyspand/StopLog.h"

#include <string>

#include "Kernel/EventLoop.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan {

void LogStop(std::string_view event,
             const drain::PlannedStop& stop,
             const drain::StopWork& work) {
  const auto for_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      EventLoop::Now() - stop.began);
  telemetry::Log(telemetry::LogLevel::kInfo, "drain", event,
                 {{"phase", std::string(drain::NameOf(stop.phase))},
                  {"open", std::to_string(work.open)},
                  {"waiting", std::to_string(work.waiting)},
                  {"reading", std::to_string(work.reading)},
                  {"delivering", std::to_string(work.delivering)},
                  {"idle", std::to_string(work.idle)},
                  {"for_ms", std::to_string(for_time.count())}});
}

}  // namespace bramleyspan
