#include "LibJSON/Read.h"

#include <algorithm>

namespace bramleyspan::json_text {

namespace {

using nlohmann::json;

// Counts brackets outside of strings, in one pass and without memory. Where the
// text is malformed the count may be wrong, but then it is not read anyway.
bool is_too_deep(std::string_view text) {
  size_t depth = 0;
  bool is_in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"':
        is_in_string = !is_in_string;
        break;
      case '\\':
        i += is_in_string ? 1 : 0;
        break;
      case '[':
      case '{':
        depth += is_in_string ? 0 : 1;
        break;
      case ']':
      case '}':
        depth -= is_in_string || depth == 0 ? 0 : 1;
        break;
      default:
        break;
    }
    if (depth > kMaxNesting) {
      return true;
    }
  }
  return false;
}

}  // namespace

json Parse(std::string_view text) {
  if (is_too_deep(text)) {
    return json(json::value_t::discarded);
  }
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

const json* Find(const json& source, const char* name) {
  if (!source.is_object()) {
    return nullptr;
  }
  const auto found = source.find(name);
  return found == source.end() ? nullptr : &*found;
}

std::optional<std::string> FindText(const json& source, const char* name) {
  const json* value = Find(source, name);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<uint64_t> FindUnsigned(const json& source,
                                     const char* name,
                                     uint64_t max) {
  const json* value = Find(source, name);
  if (value == nullptr || !value->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto number = value->get<uint64_t>();
  return number <= max ? std::optional(number) : std::nullopt;
}

bool is_text(std::string_view bytes) {
  const auto is_ascii = [](char letter) {
    return static_cast<unsigned char>(letter) < 0x80;
  };
  if (std::ranges::all_of(bytes, is_ascii)) {
    return true;
  }
  const json value = std::string(bytes);
  return value.dump(-1, ' ', false, json::error_handler_t::ignore) ==
         value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Write(const json& value, int indent) {
  return value.dump(indent, ' ', /*ensure_ascii=*/false,
                    json::error_handler_t::replace);
}

}  // namespace bramleyspan::json_text
