#include <doctest/doctest.h>

#include "LibTelemetry/Metrics.h"
#include "LibTelemetry/RenderedMetrics.h"

namespace bramleyspan::telemetry {

// Failure: each of many readers has the metrics rendered for itself, and the
// process does nothing else.
TEST_CASE("Metrics that many ask for at once are rendered once") {
  constexpr MetricName kReadings{"test_readings_total", "Readings."};
  RenderedMetrics rendered;
  TimePoint now{std::chrono::seconds(100)};
  int renderings = 0;
  const auto render = [&] {
    return Render(rendered, now, [&] {
      ++renderings;
      Count(kReadings, {});
    });
  };
  for (int reader = 0; reader < 1000; ++reader) {
    CHECK(render().find("test_readings_total 1") != std::string::npos);
  }
  CHECK(renderings == 1);
  now += kRenderedFor;
  CHECK(render().find("test_readings_total 2") != std::string::npos);
}

}  // namespace bramleyspan::telemetry
