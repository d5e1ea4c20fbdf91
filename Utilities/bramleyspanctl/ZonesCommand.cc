// The zones command: lists the availability zones that gateways keep empty.
#include <absl/strings/str_format.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "Utilities/bramleyspanctl/Commands.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

Result<void> PrintZones(const std::string& gateways) {
  const auto addresses = TRY(ParseGateways(gateways));
  std::cout << absl::StrFormat("%-21s %-24s %10s  %s\n", "gateway",
                               "evacuated zone", "revision", "known for");
  for (const Address& gateway : addresses) {
    const OperatorClient client{.entries = {gateway}, .key = ""};
    const http::Response response =
        TRY(SendRequest(client, "GET", "/v1/dump", ""));
    const json zones =
        json::parse(response.body).value("evacuated_zones", json::object());
    for (const auto& [zone, evacuated] : zones.items()) {
      std::cout << absl::StrFormat(
          "%-21s %-24s %10d  %.0f s\n", Format(gateway), zone,
          evacuated.at("revision").get<uint64_t>(),
          evacuated.at("since_ms").get<double>() / kMillisecondsPerSecond);
    }
  }
  return Succeed();
}

}  // namespace bramleyspan
