// The page of metrics at /metrics.
#pragma once

#include "LibHTTP/Message.h"
#include "Services/bramleyspand/CatalogueFeed.h"
#include "Services/bramleyspand/MetricNames.h"

namespace bramleyspan {

// Sets the gauges that every role exports.
void UpdateSharedGauges(const CatalogueFeed& feed);

// Returns the answer with this text, in the Prometheus text format.
http::Response MetricsResponse(const std::string& text);

}  // namespace bramleyspan
