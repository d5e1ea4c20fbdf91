// The metrics of this process, in the Prometheus text format.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::telemetry {

// Label names of a metric and their values.
using Labels = std::map<std::string, std::string>;

// The name of a metric, which includes its unit, and its help text.
struct MetricName {
  std::string_view name;
  std::string_view help;
};

// Adds `amount` to a counter.
void Count(const MetricName& metric, const Labels& labels, double amount = 1);

// Sets a gauge to `value`.
void SetGauge(const MetricName& metric, const Labels& labels, double value);

// Records a duration in a histogram of seconds.
void Observe(const MetricName& metric, const Labels& labels, Duration time);

// Returns all metrics as text, including the processor time and resident memory
// of this process.
std::string SerializeMetrics();

}  // namespace bramleyspan::telemetry
