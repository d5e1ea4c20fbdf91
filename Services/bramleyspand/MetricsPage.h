// The page of metrics that both roles serve at /metrics.
#pragma once

#include "LibHTTP/Message.h"
#include "Services/bramleyspand/CatalogueFeed.h"
#include "Services/bramleyspand/MetricNames.h"

namespace bramleyspan {

// Sets the gauges that every role has.
void UpdateSharedGauges(const CatalogueFeed& feed);

// All metrics as an answer.
http::Response MetricsResponse();

}  // namespace bramleyspan
