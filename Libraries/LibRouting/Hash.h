// The hash of rendezvous hashing and of prompt prefixes, by xxHash.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace bramleyspan::routing {

// A hash of `text` that differs with `seed`.
inline uint64_t HashWith(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

// Names the first `bytes` bytes of a prompt; never zero.
inline uint64_t HashPrefix(std::string_view prompt, size_t bytes) {
  return HashWith(prompt.substr(0, bytes), 0) | 1U;
}

}  // namespace bramleyspan::routing
