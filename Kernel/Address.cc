#include "Kernel/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bramleyspan {

Result<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorCode::kMalformedDocument, std::string(text),
                "an address is IP:PORT");
  }
  Address address{.ip = std::string(text.substr(0, colon)), .port = 0};
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return Fail(ErrorCode::kMalformedDocument, std::string(text),
                "the part before the colon is no IPv4 number");
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, failure] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (failure != std::errc{} || end != port.data() + port.size()) {
    return Fail(ErrorCode::kMalformedDocument, std::string(text),
                "the port is no number below 65536");
  }
  return address;
}

std::string Format(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in converted{};
  converted.sin_family = AF_INET;
  converted.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &converted.sin_addr);
  return converted;
}

}  // namespace bramleyspan
