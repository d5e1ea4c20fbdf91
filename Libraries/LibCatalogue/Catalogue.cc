#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

const Owner* FindOwnerByKeyDigest(const Catalogue& catalogue,
                                  const std::string& key_sha256) {
  for (const auto& [name, owner] : catalogue.owners) {
    if (owner.key_sha256 == key_sha256) {
      return &owner;
    }
  }
  return nullptr;
}

}  // namespace bramleyspan::catalogue
