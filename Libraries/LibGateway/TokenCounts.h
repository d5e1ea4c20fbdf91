// What a caller says of the size of its request and of the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bramleyspan::gateway {

struct TokenCounts {
  uint64_t prompt = 0;
  // Of the longest answer that the caller accepts.
  std::optional<uint64_t> answer;
};

// Parses "PROMPT" or "PROMPT,ANSWER". Returns nothing if it is of another form.
std::optional<TokenCounts> ParseTokenCounts(std::string_view text);

}  // namespace bramleyspan::gateway
