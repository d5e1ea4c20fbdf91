// The text of the metrics, rendered for many readers at once.
//
// Failure: 300 clients ask for the metrics as fast as they can. Each rendering
// takes some tenths of a millisecond, the loop does nothing else for seconds,
// and ordinary requests are refused since the process doesn't answer in time.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::telemetry {

struct RenderedMetrics {
  std::string text;
  std::optional<TimePoint> rendered_at;
};

// A text is used again for so long.
inline constexpr Duration kRenderedFor = std::chrono::milliseconds(100);

// Returns the text, rendered anew if it is older. `update_gauges` is called
// before that.
const std::string& Render(RenderedMetrics& rendered,
                          TimePoint now,
                          const std::function<void()>& update_gauges);

}  // namespace bramleyspan::telemetry
