#include "LibAdmission/RecentPrefixes.h"

namespace bramleyspan::admission {

void RecordPrefix(RecentPrefixes& prefixes, uint64_t prefix, uint32_t tokens) {
  if (prefix == 0) {
    return;
  }
  const auto entry = prefixes.by_prefix.find(prefix);
  if (entry != prefixes.by_prefix.end()) {
    prefixes.prefix_by_use.erase(entry->second.last_use);
  }
  ++prefixes.uses;
  prefixes.by_prefix.insert_or_assign(
      prefix,
      RecentPrefixes::Entry{.tokens = tokens, .last_use = prefixes.uses});
  prefixes.prefix_by_use.emplace(prefixes.uses, prefix);
  if (prefixes.by_prefix.size() > prefixes.capacity) {
    const auto oldest = prefixes.prefix_by_use.begin();
    prefixes.by_prefix.erase(oldest->second);
    prefixes.prefix_by_use.erase(oldest);
  }
}

uint32_t CachedTokens(const RecentPrefixes& prefixes, uint64_t prefix) {
  const auto entry = prefixes.by_prefix.find(prefix);
  return entry == prefixes.by_prefix.end() ? 0 : entry->second.tokens;
}

}  // namespace bramleyspan::admission
