// Hashes for rendezvous hashing and for prompt prefixes (xxHash).
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace bramleyspan::routing {

// Returns a hash of `text`; each `seed` gives an independent hash function.
inline uint64_t HashWith(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

// Returns a hash of the first `bytes` bytes of a prompt; never zero, which
// stands for "no prefix".
inline uint64_t HashPrefix(std::string_view prompt, size_t bytes) {
  return HashWith(prompt.substr(0, bytes), 0) | 1U;
}

}  // namespace bramleyspan::routing
