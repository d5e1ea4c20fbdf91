// Stand-in for the platform's VM list. Changes become visible after a lag.

#include <map>
#include <nlohmann/json.hpp>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8600", "IP:PORT to listen on");
ABSL_FLAG(int, lag_milliseconds, 500, "delay until a change is visible");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;

struct State {
  EventLoop& loop;
  Duration lag;
  std::map<std::string, json> vms;
};

// Handles GET /v1/vms, which lists the VMs, and PUT and DELETE /v1/vms/NAME,
// which add or replace a VM and remove it, both after the lag.
void Handle(State& state,
            const http::Request& request,
            const std::shared_ptr<http::Exchange>& exchange) {
  constexpr std::string_view kPrefix = "/v1/vms/";
  if (request.path == "/v1/vms") {
    json list = json::array();
    for (const auto& [name, vm] : state.vms) {
      list.push_back(vm);
    }
    exchange->Respond({.body = json{{"vms", list}}.dump()});
    return;
  }
  if (!request.path.starts_with(kPrefix)) {
    exchange->Respond({.status = 404});
    return;
  }
  const std::string name = request.path.substr(kPrefix.size());
  const json vm = json::parse(request.body, nullptr, false);
  const bool is_removal = request.method == "DELETE";
  if (!is_removal && !vm.is_object()) {
    exchange->Respond({.status = 400});
    return;
  }
  state.loop.RunAfter(state.lag, [&state, name, vm, is_removal] {
    if (is_removal) {
      state.vms.erase(name);
    } else {
      state.vms[name] = vm;
    }
  });
  exchange->Respond({.body = "true"});
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  using namespace bramleyspan::standins;
  return Run(
      argument_count, arguments, FLAGS_address,
      [](bramleyspan::EventLoop& loop) {
        return State{
            loop,
            std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_milliseconds)),
            {}};
      },
      Handle);
}
