#include <nlohmann/json.hpp>

#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;

}  // namespace

void HandleAddresses(const EntryState& state, const ExchangePointer& exchange) {
  json addresses = json::array();
  for (const platform::Vm& vm : state.vms) {
    const bool is_self = vm.name == state.settings.name;
    const bool is_serving =
        is_self ? !state.is_leaving
                : FindUsableLink(state.links, vm.name) != nullptr;
    if (vm.kind == platform::VmKind::kEntry && is_serving &&
        vm.state == platform::VmState::kLive) {
      addresses.push_back(
          {{"address", Format(Address{vm.ip, state.settings.caller_port})},
           {"zone", vm.zone}});
    }
  }
  const auto lifetime =
      std::chrono::duration_cast<std::chrono::seconds>(kAddressLifetime);
  exchange->Respond(JsonResponse(
      200, {{"addresses", addresses}, {"keep_seconds", lifetime.count()}}));
}

}  // namespace bramleyspan::entry
