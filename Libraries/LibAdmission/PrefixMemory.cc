#include "LibAdmission/PrefixMemory.h"

namespace bramleyspan::admission {

void Remember(PrefixMemory& memory, uint64_t prefix, uint32_t tokens) {
  if (prefix == 0) {
    return;
  }
  const auto known = memory.by_prefix.find(prefix);
  if (known != memory.by_prefix.end()) {
    memory.prefix_by_use.erase(known->second.last_use);
  }
  ++memory.uses;
  memory.by_prefix.insert_or_assign(
      prefix, PrefixMemory::Known{.tokens = tokens, .last_use = memory.uses});
  memory.prefix_by_use.emplace(memory.uses, prefix);
  if (memory.by_prefix.size() > memory.capacity) {
    const auto oldest = memory.prefix_by_use.begin();
    memory.by_prefix.erase(oldest->second);
    memory.prefix_by_use.erase(oldest);
  }
}

uint32_t CachedTokens(const PrefixMemory& memory, uint64_t prefix) {
  const auto known = memory.by_prefix.find(prefix);
  return known == memory.by_prefix.end() ? 0 : known->second.tokens;
}

}  // namespace bramleyspan::admission
