// What an agent remembers of the prompts that it forwarded lately: a guess at
// what the engine's prefix cache holds. The engine's own cache events come
// late and with gaps, so that the guess may be wrong; it only ever orders
// candidates and never decides whether a request is taken.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace bramleyspan::admission {

// Prefixes with the number of their last use. Plain values, so that a copy of
// the state stands alone.
struct RecentPrefixes {
  struct Entry {
    uint32_t tokens = 0;
    uint64_t last_use = 0;
  };
  size_t capacity = 256;
  uint64_t uses = 0;
  std::unordered_map<uint64_t, Entry> by_prefix;
  std::map<uint64_t, uint64_t> prefix_by_use;
};

// A prompt of which the first `tokens` have this prefix was forwarded.
void RecordPrefix(RecentPrefixes& prefixes, uint64_t prefix, uint32_t tokens);

// The tokens of this prefix that are probably cached; zero for none.
uint32_t CachedTokens(const RecentPrefixes& prefixes, uint64_t prefix);

}  // namespace bramleyspan::admission
