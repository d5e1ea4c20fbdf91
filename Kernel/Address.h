// IPv4 addresses with ports. Host names are not resolved.
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

// Returns the address that a text such as "10.0.0.1:8080" gives. Fails with
// kMalformedDocument.
Result<Address> ParseAddress(std::string_view text);

// Returns the address as text, such as "10.0.0.1:8080".
std::string Format(const Address& address);

// Returns the address in the form that socket functions take. `address.ip` must
// be a valid IPv4 address, as ParseAddress ensures.
sockaddr_in ToSocketAddress(const Address& address);

}  // namespace bramleyspan
