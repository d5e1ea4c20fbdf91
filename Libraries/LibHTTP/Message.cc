#include "LibHTTP/Message.h"

namespace bramleyspan::http {

size_t ListBytes(const HeaderList& headers) {
  return headers.capacity() * sizeof(HeaderList::value_type);
}

std::string_view FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string FindQueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const size_t ampersand = query.find('&');
    const std::string_view pair = query.substr(0, ampersand);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : std::string(pair.substr(equals + 1));
    }
    if (ampersand == std::string_view::npos) {
      break;
    }
    query.remove_prefix(ampersand + 1);
  }
  return {};
}

}  // namespace bramleyspan::http
