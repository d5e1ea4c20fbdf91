// HTTP requests and responses as values.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleyspan::http {

// Pairs of a lower-case header name and its value, in the order received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A request as a server receives it, with its complete body.
struct Request {
  std::string method;
  std::string path;
  std::string query;
  HeaderList headers;
  std::string body;
};

// A response with its complete body.
struct Response {
  int status = 200;
  HeaderList headers;
  std::string body;
};

// Bytes of a body that is fetched whole. A watch that was away for the store's
// whole history gets all of it at once.
inline constexpr size_t kMaxFetchedBytes = size_t{16} << 20;

// Returns the memory that the list itself takes, without texts that are too
// long to lie in it.
size_t ListBytes(const HeaderList& headers);

// Returns the value of the first header with that lower-case name, or an empty
// text if there is none.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

// Returns the value of `name` in a query such as "a=1&b=2", or an empty text if
// there is none. Does not decode percent escapes.
std::string FindQueryValue(std::string_view query, std::string_view name);

}  // namespace bramleyspan::http
