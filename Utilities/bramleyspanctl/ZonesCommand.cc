// The zones command: lists the evacuated zones that each gateway knows.
#include <absl/strings/str_format.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "Utilities/bramleyspanctl/Commands.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr double kMillisecondsPerSecond = 1000;

// Returns the state of a gateway; nothing if it does not answer.
std::optional<json> FetchDump(const Address& gateway) {
  const OperatorClient client{.entries = {gateway}, .key = ""};
  const auto response = SendRequest(client, "GET", "/v1/dump", "");
  if (response.has_error() || response.value().status != kOk) {
    return std::nullopt;
  }
  json dump = json::parse(response.value().body, nullptr, false);
  return dump.is_object() ? std::optional(std::move(dump)) : std::nullopt;
}

}  // namespace

Result<void> PrintZones(const std::string& gateways) {
  const auto addresses = TRY(ParseGateways(gateways));
  std::cout << absl::StrFormat("%-21s %-24s %10s  %s\n", "gateway",
                               "evacuated zone", "revision", "known for");
  bool is_any_silent = false;
  for (const Address& gateway : addresses) {
    const std::optional<json> dump = FetchDump(gateway);
    if (!dump) {
      is_any_silent = true;
      std::cout << absl::StrFormat("%-21s no answer\n", Format(gateway));
      continue;
    }
    const json zones = dump->value("evacuated_zones", json::object());
    if (zones.empty()) {
      std::cout << absl::StrFormat("%-21s -\n", Format(gateway));
    }
    for (const auto& [zone, evacuated] : zones.items()) {
      std::cout << absl::StrFormat(
          "%-21s %-24s %10d  %.0f s\n", Format(gateway), zone,
          evacuated.at("revision").get<uint64_t>(),
          evacuated.at("since_ms").get<double>() / kMillisecondsPerSecond);
    }
  }
  return is_any_silent ? Result<void>(Fail(ErrorCode::kUnavailable, "gateways",
                                           "not all of them answered"))
                       : Succeed();
}

}  // namespace bramleyspan
