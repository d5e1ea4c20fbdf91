#include "LibGateway/PromptParts.h"

#include <algorithm>

#include "Kernel/Digest.h"
#include "LibJSON/Read.h"

namespace bramleyspan::gateway {

namespace {

constexpr std::string_view kBlanks = " \t";

std::string_view WithoutBlanks(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
  });
  return lower;
}

std::string ToText(const std::string& id) {
  constexpr size_t kDigits = 32;
  return json_text::is_text(id) ? id
                                : "bytes-" + Sha256Hex(id).substr(0, kDigits);
}

}  // namespace

std::vector<std::string> ParseSharedParts(std::string_view list) {
  std::vector<std::string> parts;
  size_t comma = list.find(',');
  while (comma != std::string_view::npos && parts.size() < kMaxParts) {
    const std::string_view entry = list.substr(0, comma);
    std::string id = ToLowerCase(
        WithoutBlanks(entry.substr(0, std::min(entry.find(':'), comma))));
    if (!id.empty() && id.size() <= kMaxPartIdBytes) {
      id = ToText(id);
      if (std::ranges::find(parts, id) == parts.end()) {
        parts.push_back(std::move(id));
      }
    }
    list.remove_prefix(comma + 1);
    comma = list.find(',');
  }
  return parts;
}

}  // namespace bramleyspan::gateway
