#include "LibGateway/TokenCounts.h"

#include <charconv>

namespace bramleyspan::gateway {

namespace {

std::optional<uint64_t> ParseCount(std::string_view text) {
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value);
  const bool is_number = failure == std::errc{} && stop == end;
  return is_number ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<TokenCounts> ParseTokenCounts(std::string_view text) {
  const size_t comma = text.find(',');
  const auto prompt = ParseCount(text.substr(0, comma));
  if (!prompt) {
    return std::nullopt;
  }
  TokenCounts counts{.prompt = *prompt};
  if (comma != std::string_view::npos) {
    counts.answer = ParseCount(text.substr(comma + 1));
    if (!counts.answer) {
      return std::nullopt;
    }
  }
  return counts;
}

}  // namespace bramleyspan::gateway
