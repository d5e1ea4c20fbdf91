// The metrics of the daemon that several of its files use.
#pragma once

#include "LibTelemetry/Metrics.h"

namespace bramleyspan::metric_names {

using telemetry::MetricName;

inline constexpr MetricName kCalls{
    "bramleyspan_calls_total",
    "Calls that ended, by catalogue entry, verdict and error code."};
inline constexpr MetricName kCallTime{
    "bramleyspan_call_seconds",
    "Time from a call's arrival at the entry to the end of its answer."};
inline constexpr MetricName kFirstByteTime{
    "bramleyspan_first_byte_seconds",
    "Time from a call's arrival at the entry to the head of its answer."};
inline constexpr MetricName kOpenCalls{"bramleyspan_open_calls",
                                       "Calls whose answer has not ended."};
inline constexpr MetricName kCatalogueRevision{"bramleyspan_catalogue_revision",
                                               "Catalogue revision in force."};
inline constexpr MetricName kLinks{
    "bramleyspan_links", "Connections to other processes of the system."};
inline constexpr MetricName kLinkBytes{
    "bramleyspan_link_bytes_total",
    "Bytes of frames on all links since the start, by direction."};
inline constexpr MetricName kKeyValueCalls{
    "bramleyspan_key_value_calls_total",
    "Calls to the key-value service; a waiting watch counts as one."};
inline constexpr MetricName kRememberedClaims{
    "bramleyspan_remembered_claims",
    "Claim keys of which the agent remembers what became."};

}  // namespace bramleyspan::metric_names
