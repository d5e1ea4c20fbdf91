#include <doctest/doctest.h>

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"

namespace bramleyspan::telemetry {

TEST_CASE("a log level can be set for one module") {
  const auto filter = ParseLogFilter("warning,links=debug");
  REQUIRE(filter.has_value());
  CHECK(is_logged(filter.value(), LogLevel::kDebug, "links"));
  CHECK_FALSE(is_logged(filter.value(), LogLevel::kInfo, "calls"));
  CHECK(is_logged(filter.value(), LogLevel::kError, "calls"));
}

TEST_CASE("an unknown log level is refused") {
  const auto filter = ParseLogFilter("info,links=loud");
  REQUIRE(filter.has_error());
  CHECK(filter.error().code == ErrorCode::kInvalidSetting);
  CHECK(filter.error().subject == "loud");
}

TEST_CASE("metrics are serialized in the Prometheus text format") {
  Count({"test_calls_total", "Calls."}, {{"entry", "draft"}}, 2);
  Count({"test_calls_total", "Calls."}, {{"entry", "draft"}});
  Observe({"test_seconds", "Time."}, {}, std::chrono::milliseconds(20));
  const std::string text = SerializeMetrics();
  CHECK(text.find("test_calls_total{entry=\"draft\"} 3") != std::string::npos);
  CHECK(text.find("test_seconds_bucket{le=\"0.028\"} 1") != std::string::npos);
  CHECK(text.find("process_resident_memory_bytes") != std::string::npos);
}

}  // namespace bramleyspan::telemetry
