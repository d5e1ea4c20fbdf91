// Names a request by its content, so that it is known again when its caller
// sends it once more: each attempt has an id of its own.
#pragma once

#include <string>
#include <string_view>

namespace bramleyspan::gateway {

// What stays the same when a caller sends a request again. What differs by
// attempt is left out: the attempt's id, deadlines, the last event seen.
struct RequestContent {
  // The tenant; two tenants' requests are never the same.
  std::string_view tenant;
  std::string_view method;
  // Path and query.
  std::string_view target;
  // All parts of the prompt, as the caller lists them.
  std::string_view parts;
  std::string_view body;
};

// Returns 32 hexadecimal digits of a cryptographic hash, so that no caller can
// make a request that is taken for another caller's.
std::string DigestOf(const RequestContent& content);

}  // namespace bramleyspan::gateway
