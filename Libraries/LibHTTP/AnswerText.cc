#include "LibHTTP/AnswerText.h"

#include <array>
#include <charconv>

namespace bramleyspan::http {

const char* ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string SerializeHead(int status,
                          const HeaderList& headers,
                          std::string_view framing,
                          bool is_last) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(ReasonOf(status)).append("\r\n");
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append(framing);
  if (is_last) {
    text.append("connection: close\r\n");
  }
  return text + "\r\n";
}

std::string ChunkOf(std::string_view bytes) {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16)
                       .ptr;
  std::string chunk(digits.data(), end);
  chunk.append("\r\n").append(bytes).append("\r\n");
  return chunk;
}

}  // namespace bramleyspan::http
