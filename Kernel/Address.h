// IP addresses with ports; the system resolves no names.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "Kernel/Result.h"

namespace bramleyspan {

// An IPv4 address in dotted form, and a port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

// Parses "10.0.0.1:8080". Fails with kMalformedDocument.
Result<Address> ParseAddress(std::string_view text);

// Formats as "10.0.0.1:8080".
std::string Format(const Address& address);

// Converts for the socket calls; `address` must stem from ParseAddress.
sockaddr_in ToSocketAddress(const Address& address);

}  // namespace bramleyspan
