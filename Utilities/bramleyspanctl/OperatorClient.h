// Talks to the operators' interface of the entries.
#pragma once

#include <string>
#include <vector>

#include "Kernel/Address.h"
#include "Kernel/Result.h"
#include "LibHTTP/Message.h"

namespace bramleyspan {

// The entries to try in turn, and the key to show.
struct OperatorClient {
  std::vector<Address> entries;
  std::string key;
};

// Parses "IP:PORT,IP:PORT". Fails with kInvalidSetting.
Result<std::vector<Address>> ParseEntries(const std::string& text);

// Sends a request to the first entry that answers. A change set carries an id,
// so that trying the next entry can not apply it twice. Fails if none answers.
Result<http::Response> Ask(const OperatorClient& client,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body);

}  // namespace bramleyspan
