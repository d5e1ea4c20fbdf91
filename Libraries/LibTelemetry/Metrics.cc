#include "LibTelemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace bramleyspan::telemetry {

namespace {

constexpr MetricName kProcessorTime{"process_cpu_seconds_total",
                                    "Processor time used, user and system."};
constexpr MetricName kResidentMemory{"process_resident_memory_bytes",
                                     "Resident memory."};

prometheus::Registry& Registry() {
  static prometheus::Registry registry;
  return registry;
}

// Bucket bounds in seconds. They include the users' latency limits of 28 ms and
// 0.84 s, and cover the range of the deadlines.
const prometheus::Histogram::BucketBoundaries& Buckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.028, 0.05, 0.1,
      0.25,   0.5,   0.84,   1.5,   3,    10,    30,   120};
  return buckets;
}

double ProcessorSeconds() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds =
      static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  const auto microseconds =
      static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
  return seconds + microseconds / kMicrosecondsPerSecond;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

void Count(const MetricName& metric, const Labels& labels, double amount) {
  prometheus::BuildCounter()
      .Name(std::string(metric.name))
      .Help(std::string(metric.help))
      .Register(Registry())
      .Add(labels)
      .Increment(amount);
}

void SetGauge(const MetricName& metric, const Labels& labels, double value) {
  prometheus::BuildGauge()
      .Name(std::string(metric.name))
      .Help(std::string(metric.help))
      .Register(Registry())
      .Add(labels)
      .Set(value);
}

void Observe(const MetricName& metric, const Labels& labels, Duration time) {
  prometheus::BuildHistogram()
      .Name(std::string(metric.name))
      .Help(std::string(metric.help))
      .Register(Registry())
      .Add(labels, Buckets())
      .Observe(std::chrono::duration<double>(time).count());
}

std::string SerializeMetrics() {
  SetGauge(kProcessorTime, {}, ProcessorSeconds());
  SetGauge(kResidentMemory, {}, ResidentBytes());
  return prometheus::TextSerializer().Serialize(Registry().Collect());
}

}  // namespace bramleyspan::telemetry
