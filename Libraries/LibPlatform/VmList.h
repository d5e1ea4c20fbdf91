// The platform's list of VMs and whether each is live or leaving. The list lags
// behind.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibHTTP/Client.h"

namespace bramleyspan::platform {

enum class VmKind { kEntry, kTarget };
enum class VmState { kLive, kLeaving };

// An entry of the list.
struct Vm {
  std::string name;
  std::string ip;
  std::string zone;
  VmKind kind = VmKind::kEntry;
  VmState state = VmState::kLive;
};

// Parses the list's JSON. Fails with kMalformedDocument.
Result<std::vector<Vm>> ParseVmList(std::string_view text);

// Fetches the list once. Fails with kUnavailable, with kMalformedDocument or
// with the error of the call.
void FetchVmList(http::Client& client,
                 const Address& address,
                 std::function<void(Result<std::vector<Vm>>)> on_done);

}  // namespace bramleyspan::platform
