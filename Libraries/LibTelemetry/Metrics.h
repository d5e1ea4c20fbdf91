// The metrics of this process in Prometheus' text format.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::telemetry {

// Names the values of a metric's labels.
using Labels = std::map<std::string, std::string>;

// A metric's name and what it counts, with its unit in the name.
struct MetricName {
  std::string_view name;
  std::string_view help;
};

// Adds to a counter.
void Count(const MetricName& metric, const Labels& labels, double amount = 1);

// Sets a gauge.
void SetGauge(const MetricName& metric, const Labels& labels, double value);

// Records how long something took, in a histogram of seconds.
void Observe(const MetricName& metric, const Labels& labels, Duration time);

// All metrics, with the processor time and resident memory of this process.
std::string SerializeMetrics();

}  // namespace bramleyspan::telemetry
