// HTTP requests and responses as plain values.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleyspan::http {

// Header names in lower case with their values, in the order received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A request as a server receives it, with its whole body.
struct Request {
  std::string method;
  std::string path;
  std::string query;
  HeaderList headers;
  std::string body;
};

// A response with its whole body.
struct Response {
  int status = 200;
  HeaderList headers;
  std::string body;
};

// The value of a header by its lower-case name; empty if there is none.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

// The value of `name` in a query such as "a=1&b=2"; empty if there is none.
std::string FindQueryValue(std::string_view query, std::string_view name);

}  // namespace bramleyspan::http
