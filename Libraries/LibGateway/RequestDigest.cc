#include "LibGateway/RequestDigest.h"

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
  text.append(content.body);
  return Sha256Hex(text).substr(0, kDigits);
}

}  // namespace bramleyspan::gateway
