// A client of the operators' interface of the entries.
#pragma once

#include <string>
#include <vector>

#include "Kernel/Address.h"
#include "Kernel/Result.h"
#include "LibHTTP/Message.h"

namespace bramleyspan {

// The entries to try one after the other, and the operator's key.
struct OperatorClient {
  std::vector<Address> entries;
  std::string key;
};

// Parses "IP:PORT,IP:PORT". Fails with kInvalidSetting.
Result<std::vector<Address>> ParseEntries(const std::string& text);

// Parses the value of --gateways. Fails with kInvalidSetting, also if it is
// empty.
Result<std::vector<Address>> ParseGateways(const std::string& text);

// Returns the answer of the first entry that answers. Trying the next entry
// can't apply a change set twice, since each carries an id. Fails if no entry
// answers.
Result<http::Response> SendRequest(const OperatorClient& client,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body);

}  // namespace bramleyspan
