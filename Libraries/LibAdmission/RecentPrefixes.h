// Records the prefixes of the prompts that an agent forwarded recently, to
// estimate what the engine's prefix cache holds. The engine's own cache events
// arrive late and with gaps, so this estimate may be wrong. It enters the
// expected time to the first token and the ranking of candidates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace bramleyspan::admission {

// A least-recently-used set of prefixes. It holds plain values, so that a copy
// of the state is independent.
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

// Records that a prompt was forwarded whose first `tokens` tokens have this
// prefix.
void RecordPrefix(RecentPrefixes& prefixes, uint64_t prefix, uint32_t tokens);

// Returns the number of tokens of this prefix that are probably cached; zero if
// the prefix is not recorded.
uint32_t CachedTokens(const RecentPrefixes& prefixes, uint64_t prefix);

}  // namespace bramleyspan::admission
