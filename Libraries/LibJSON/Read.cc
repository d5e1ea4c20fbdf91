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

// Reads values without keeping them, until one is nested too deeply. The reader
// of MessagePack itself goes down by recursion.
class DepthCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override {
    return ++this->depth <= kMaxNesting;
  }
  bool key(string_t& /*name*/) override { return true; }
  bool end_object() override { return this->depth-- > 0; }
  bool start_array(std::size_t /*elements*/) override {
    return ++this->depth <= kMaxNesting;
  }
  bool end_array() override { return this->depth-- > 0; }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& /*failure*/) override {
    return false;
  }

 private:
  size_t depth = 0;
};

}  // namespace

json ParsePacked(std::string_view bytes) {
  DepthCheck check;
  if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
    return json(json::value_t::discarded);
  }
  return json::from_msgpack(bytes, /*strict=*/true, /*allow_exceptions=*/false);
}

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
