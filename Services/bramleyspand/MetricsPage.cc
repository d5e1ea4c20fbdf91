#include "Services/bramleyspand/MetricsPage.h"

namespace bramleyspan {

void UpdateSharedGauges(const CatalogueFeed& feed) {
  using metric_names::kCatalogueRevision;
  using metric_names::kLinkBytes;
  const wire::ByteTotals& bytes = wire::TotalBytes();
  telemetry::SetGauge(kCatalogueRevision, {},
                      static_cast<double>(feed.revision()));
  telemetry::SetGauge(kLinkBytes, {{"direction", "sent"}},
                      static_cast<double>(bytes.sent));
  telemetry::SetGauge(kLinkBytes, {{"direction", "received"}},
                      static_cast<double>(bytes.received));
}

http::Response MetricsResponse(const std::string& text) {
  return {.status = 200,
          .headers = {{"content-type", "text/plain; version=0.0.4"}},
          .body = text};
}

}  // namespace bramleyspan
