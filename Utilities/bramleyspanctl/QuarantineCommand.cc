// The quarantine commands: list the parts of prompts and the requests, by their
// digests, that gateways keep from all targets, and release one.
#include <absl/strings/str_format.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "Utilities/bramleyspanctl/Commands.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr double kMillisecondsPerSecond = 1000;

void PrintPart(const std::string& gateway, const json& part) {
  std::cout << absl::StrFormat(
      "%-21s %-11s %-16s %-32s %4d %8d  %s", gateway,
      part.at("state").get<std::string>(),
      part.at("service").get<std::string>(), part.at("part").get<std::string>(),
      part.at("ends").get<uint64_t>(), part.at("rejected").get<uint64_t>(),
      part.at("targets").get<std::string>());
  if (part.contains("since_ms")) {
    std::cout << absl::StrFormat(
        "; since %.0f s, next trial in %.0f s",
        part.at("since_ms").get<double>() / kMillisecondsPerSecond,
        part.at("next_trial_in_ms").get<double>() / kMillisecondsPerSecond);
  }
  std::cout << "\n";
}

}  // namespace

Result<void> PrintQuarantine(const std::string& gateways) {
  const auto addresses = TRY(ParseGateways(gateways));
  std::cout << absl::StrFormat("%-21s %-11s %-16s %-32s %4s %8s  %s\n",
                               "gateway", "state", "service", "part", "ends",
                               "rejected", "targets that ended");
  for (const Address& gateway : addresses) {
    const OperatorClient client{.entries = {gateway}, .key = ""};
    const http::Response response =
        TRY(SendRequest(client, "GET", "/v1/quarantine", ""));
    for (const json& part : json::parse(response.body)) {
      PrintPart(Format(gateway), part);
    }
  }
  return Succeed();
}

Result<void> ReleaseFromQuarantine(const std::string& gateways,
                                   const std::string& service,
                                   const std::string& part) {
  std::string path = "/v1/quarantine/release?service=";
  path.append(service).append("&part=").append(part);
  bool is_released = false;
  for (const Address& gateway : TRY(ParseGateways(gateways))) {
    const OperatorClient client{.entries = {gateway}, .key = ""};
    const http::Response response = TRY(SendRequest(client, "POST", path, ""));
    if (response.status != kOk && response.status != kNotFound) {
      return Fail(ErrorCode::kUnavailable, Format(gateway),
                  "status " + std::to_string(response.status));
    }
    is_released = is_released || response.status == kOk;
  }
  if (!is_released) {
    return Fail(ErrorCode::kNotFound, part,
                "no such part or request of " + service + " is quarantined");
  }
  std::cout << "released\n";
  return Succeed();
}

}  // namespace bramleyspan
