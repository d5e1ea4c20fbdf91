#include "LibTelemetry/RenderedMetrics.h"

#include "LibTelemetry/Metrics.h"

namespace bramleyspan::telemetry {

const std::string& Render(RenderedMetrics& rendered,
                          TimePoint now,
                          const std::function<void()>& update_gauges) {
  const bool is_fresh =
      rendered.rendered_at && now - *rendered.rendered_at < kRenderedFor;
  if (!is_fresh) {
    update_gauges();
    rendered.text = SerializeMetrics();
    rendered.rendered_at = now;
  }
  return rendered.text;
}

}  // namespace bramleyspan::telemetry
