#include "LibGateway/RequestDigest.h"

#include <array>

#include "Kernel/Digest.h"

namespace bramleyspan::gateway {

std::string DigestOf(const RequestContent& content) {
  constexpr size_t kDigits = 32;
  std::string text;
  // Lengths keep bytes from moving between two fields.
  for (const std::string_view field :
       {content.tenant, content.method, content.target, content.parts}) {
    text.append(std::to_string(field.size())).append(":").append(field);
  }
  const std::array<std::string_view, 2> parts{text, content.body};
  return Sha256Hex(parts).substr(0, kDigits);
}

}  // namespace bramleyspan::gateway
