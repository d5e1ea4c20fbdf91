#include "LibPlatform/VmList.h"

#include <nlohmann/json.hpp>

namespace bramleyspan::platform {

namespace {

constexpr auto kCallTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;

}  // namespace

Result<std::vector<Vm>> ParseVmList(std::string_view text) {
  try {
    const auto document = nlohmann::json::parse(text);
    std::vector<Vm> vms;
    for (const auto& row : document.at("vms")) {
      const std::string kind = row.at("kind");
      const std::string state = row.at("state");
      vms.push_back(
          {.name = row.at("name"),
           .ip = row.at("ip"),
           .zone = row.at("zone"),
           .kind = kind == "entry" ? VmKind::kEntry : VmKind::kTarget,
           .state = state == "live" ? VmState::kLive : VmState::kLeaving});
    }
    return vms;
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "VM list", failure.what());
  }
}

void FetchVmList(http::Client& client,
                 const Address& address,
                 std::function<void(Result<std::vector<Vm>>)> on_done) {
  http::ClientRequest request{
      .target = address, .path = "/v1/vms", .timeout = kCallTimeout};
  client.Fetch(std::move(request), [on_done = std::move(on_done)](
                                       const Result<http::Response>& response) {
    if (response.has_error()) {
      on_done(boost::outcome_v2::failure(response.error()));
      return;
    }
    if (response.value().status != kOk) {
      on_done(Fail(ErrorCode::kUnavailable, "VM list",
                   "status " + std::to_string(response.value().status)));
      return;
    }
    on_done(ParseVmList(response.value().body));
  });
}

}  // namespace bramleyspan::platform
