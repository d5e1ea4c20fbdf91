#include "StandIns/GatewayAnswer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>
#include <string_view>

namespace bramleyspan::standins {

namespace {

constexpr int kEventsOfStream = 20;
constexpr int kSuccess = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

std::string LowerCaseOf(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

void ReadHeadOf(Answer& answer) {
  const size_t end = answer.input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  answer.head_bytes = end + 4;
  const std::string head = LowerCaseOf(answer.input.substr(0, end));
  std::from_chars(head.data() + 9, head.data() + 12, answer.status);
  answer.is_chunked =
      head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
  answer.is_last = head.find("\r\nconnection: close") != std::string::npos;
  constexpr std::string_view kLength = "\r\ncontent-length: ";
  const size_t length = head.find(kLength);
  if (length != std::string::npos) {
    answer.length = std::stoul(head.substr(length + kLength.size()));
  }
}

// Returns the body that has come, without the framing of chunks.
std::string BodyOf(const Answer& answer) {
  std::string bytes = answer.input.substr(answer.head_bytes);
  if (!answer.is_chunked) {
    return bytes;
  }
  std::string body;
  size_t at = 0;
  while (at < bytes.size()) {
    size_t size = 0;
    std::from_chars(bytes.data() + at, bytes.data() + bytes.size(), size, 16);
    at = bytes.find("\r\n", at);
    if (at == std::string::npos || size == 0) {
      break;
    }
    body += bytes.substr(at + 2, size);
    at += 2 + size + 2;
  }
  return body;
}

std::string FindFaultOfStream(const std::string& body,
                              const std::string& id,
                              bool is_answer_whole) {
  int events = 0;
  size_t begin = 0;
  for (size_t end = body.find('\n'); end != std::string::npos;
       begin = end + 1, end = body.find('\n', begin)) {
    const std::string line = body.substr(begin, end - begin);
    if (!line.starts_with("data: ")) {
      continue;
    }
    ++events;
    if (line != "data: " + id + "#" + std::to_string(events)) {
      return "order";
    }
  }
  return is_answer_whole && events != kEventsOfStream ? "early" : "";
}

std::string FindFaultOfPlainAnswer(const std::string& body,
                                   const std::string& id,
                                   bool is_answer_whole) {
  std::istringstream words(body);
  std::string service;
  std::string attempt;
  std::string rest;
  words >> service >> attempt >> rest;
  if (!is_answer_whole) {
    return "";
  }
  if (attempt != id) {
    return "attempt";
  }
  if (service != "billing" && service != "archive") {
    return "service";
  }
  constexpr std::string_view kTenant = "huber";
  const bool is_own =
      rest.starts_with(kTenant) &&
      rest.find_first_not_of('x', kTenant.size()) == std::string::npos;
  return is_own ? "" : "body";
}

}  // namespace

bool is_whole(Answer& answer) {
  if (answer.head_bytes == 0) {
    ReadHeadOf(answer);
  }
  if (answer.head_bytes == 0) {
    return false;
  }
  if (answer.is_chunked) {
    return answer.input.ends_with("\r\n0\r\n\r\n");
  }
  return answer.length
             ? answer.input.size() >= answer.head_bytes + *answer.length
             : answer.is_ended;
}

std::string FindFault(const Answer& answer,
                      const std::string& id,
                      bool is_stream,
                      bool is_answer_whole) {
  if (answer.head_bytes == 0) {
    return "";
  }
  const std::string head =
      LowerCaseOf(answer.input.substr(0, answer.head_bytes));
  const bool has_stamp =
      head.find("\r\nx-server-stamp: stamp-" + LowerCaseOf(id) + "\r\n") !=
      std::string::npos;
  if (answer.status != kSuccess) {
    const bool is_of_gateway =
        answer.status >= kBadGateway && answer.status <= kGatewayTimeout;
    return is_of_gateway &&
                   head.find("\r\nx-server-stamp: ") != std::string::npos
               ? "stamp"
               : "";
  }
  if (!has_stamp) {
    return "stamp";
  }
  if (!answer.is_chunked && answer.length &&
      answer.input.size() > answer.head_bytes + *answer.length) {
    return "body";
  }
  return is_stream
             ? FindFaultOfStream(BodyOf(answer), id, is_answer_whole)
             : FindFaultOfPlainAnswer(BodyOf(answer), id, is_answer_whole);
}

}  // namespace bramleyspan::standins
