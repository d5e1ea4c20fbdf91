#include "Services/bramleyspand/Gateway/CallerAddresses.h"

#include "LibGateway/Directory.h"

namespace bramleyspan::gatewayd {

std::vector<std::string> AddressesForCallers(GatewayState& state,
                                             bool is_ready,
                                             const std::string& zone) {
  const TimePoint now = EventLoop::Now();
  std::vector<gateway::ListedGateway> gateways;
  const gateway::ListedGateway own{.zone = state.settings.zone,
                                   .address = Format(*state.fleet().callers)};
  if (is_ready) {
    gateways.push_back(own);
  }
  for (const auto* known : membership::LiveGateways(state.members, now)) {
    gateways.push_back(
        {.zone = known->member.zone, .address = known->member.caller_address});
  }
  if (gateways.empty()) {
    for (const auto& [name, known] : state.members.known) {
      if (known.member.is_entry && !known.member.is_leaving) {
        gateways.push_back({.zone = known.member.zone,
                            .address = known.member.caller_address});
      }
    }
  }
  if (gateways.empty() && state.table != nullptr) {
    gateways.push_back(own);
  }
  return gateway::AddressesFor(gateways, zone, state.random());
}

}  // namespace bramleyspan::gatewayd
