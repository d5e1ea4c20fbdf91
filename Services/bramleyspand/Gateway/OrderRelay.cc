#include "Services/bramleyspand/Gateway/OrderRelay.h"

#include <algorithm>
#include <string>

#include "LibHTTP/DirectCall.h"
#include "LibMapSwitch/Rank.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"

namespace bramleyspan::gatewayd {

namespace {

using http::CallEnd;
using telemetry::Log;
using telemetry::LogLevel;

// The agent sends the order directly a little later than this.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(40);

bool is_known_rank(const GatewayState& state, const std::string& address) {
  return std::any_of(state.targets.by_id.begin(), state.targets.by_id.end(),
                     [&address](const auto& item) {
                       return Format(item.second.target.address) == address;
                     });
}

}  // namespace

void RelayOrder(GatewayState& state,
                const http::IngressRequest& request,
                const std::shared_ptr<http::IngressExchange>& exchange) {
  const std::string address = http::FindQueryValue(request.query, "address");
  const auto make = PluginRegistry<mapswitch::MakeRankAdapter>::Instance().Find(
      state.fleet().adapter);
  const auto server = ParseAddress(address);
  if (make.has_error() || server.has_error() ||
      !is_known_rank(state, address)) {
    exchange->Respond(detail::kNotFound, {}, "");
    return;
  }
  http::DirectCall::Fetch(
      state.loop,
      {.target = server.value(),
       .method = "POST",
       .path = make.value()().order_path,
       .headers = {{"host", address}, {"content-type", "application/json"}},
       .body = request.body,
       .timeout = kRelayTimeout},
      [address, exchange](CallEnd end, const http::Response& response) {
        const int status =
            end == CallEnd::kWhole ? response.status : detail::kBadGateway;
        Log(LogLevel::kInfo, "map", "order_relayed",
            {{"server", address},
             {"end", std::string(http::NameOf(end))},
             {"status", std::to_string(status)}});
        exchange->Respond(status, {}, "");
      });
}

}  // namespace bramleyspan::gatewayd
