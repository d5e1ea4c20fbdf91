#include "StandIns/CutAnswers.h"

#include <sstream>

namespace bramleyspan::standins {

namespace {

constexpr std::string_view kStatus = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view kLength = "content-length: ";
constexpr std::string_view kChunked = "transfer-encoding: chunked\r\n\r\n";

std::string SizeLine(const std::string& part) {
  std::ostringstream line;
  line << std::hex << part.size() << "\r\n";
  return line.str();
}

std::optional<std::string> CutHead(std::string_view place,
                                   const std::string& header_lines) {
  const std::string head = std::string(kStatus) + header_lines;
  if (place == "status") {
    return std::string(kStatus.substr(0, kStatus.size() - 4));
  }
  if (place == "header") {
    return head.substr(0, head.size() - 4);
  }
  if (place == "framing") {
    return head + std::string(kLength) + "1";
  }
  if (place == "blank") {
    return head + std::string(kLength) + "0\r\n";
  }
  return std::nullopt;
}

std::optional<std::string> CutChunks(std::string_view place,
                                     const std::string& head,
                                     const std::vector<std::string>& parts) {
  std::string answer = head + std::string(kChunked);
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    answer += SizeLine(parts[i]) + parts[i] + "\r\n";
  }
  const std::string& last = parts.back();
  if (place == "chunks") {
    return answer;
  }
  if (place == "chunk-size") {
    return answer + SizeLine(last).substr(0, 1);
  }
  if (place == "chunk") {
    return answer + SizeLine(last) + last.substr(0, last.size() / 2);
  }
  answer += SizeLine(last) + last + "\r\n0\r\n";
  if (place == "last-chunk") {
    return answer;
  }
  return place == "by-chunks" ? std::optional(answer + "\r\n") : std::nullopt;
}

}  // namespace

std::optional<std::string> CutAnswer(std::string_view place,
                                     const std::string& header_lines,
                                     const std::vector<std::string>& parts) {
  if (auto cut_head = CutHead(place, header_lines)) {
    return cut_head;
  }
  const std::string head = std::string(kStatus) + header_lines;
  std::string body;
  for (const std::string& part : parts) {
    body += part;
  }
  if (place == "unreadable-length") {
    return head + std::string(kLength) + std::string(30, '9') + "\r\n\r\n" +
           body;
  }
  const bool is_whole = place == "by-length";
  if (is_whole || place == "length") {
    const std::string length = std::to_string(body.size());
    return head + std::string(kLength) + length + "\r\n\r\n" +
           body.substr(0, body.size() - (is_whole ? 0 : 1));
  }
  return CutChunks(place, head, parts);
}

}  // namespace bramleyspan::standins
