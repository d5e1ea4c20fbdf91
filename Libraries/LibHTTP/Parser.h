// Parses HTTP/1 heads and bodies as h2o's own parser reads them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibHTTP/Message.h"

namespace bramleyspan::http {

// The head of a request on a connection.
struct RequestHead {
  std::string method;
  std::string target;
  int minor_version = 1;
  HeaderList headers;
  size_t bytes = 0;
};

// The head of an answer on a connection.
struct AnswerHead {
  int status = 0;
  int minor_version = 1;
  HeaderList headers;
  size_t bytes = 0;
};

// Parses a request's head. Nothing yet if it is incomplete; fails with
// kMalformedRequest.
Result<std::optional<RequestHead>> ParseRequestHead(std::string_view bytes);

// Parses an answer's head. Nothing yet if it is incomplete; fails with
// kMalformedFrame.
Result<std::optional<AnswerHead>> ParseAnswerHead(std::string_view bytes);

// How the end of a body shows.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// How a body is framed, with its length where that is told.
struct MessageFraming {
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
};

// Fails with kMalformedRequest if the headers contradict each other: a sender
// and a receiver that read them differently would split a request in two.
Result<MessageFraming> FramingOfRequest(const RequestHead& head);

// Fails with kMalformedFrame if the headers contradict each other.
Result<MessageFraming> FramingOfAnswer(const AnswerHead& head,
                                       std::string_view method);

// Whether the connection may carry another message after this one.
bool is_persistent(const HeaderList& headers, int minor_version);

// Whether the comma-separated `value` contains `word`, ignoring case.
bool has_token(std::string_view value, std::string_view word);

// Reads a body out of a connection's bytes as they come.
class BodyReader {
 public:
  explicit BodyReader(MessageFraming message_framing = {});

  // Consumes `input` and appends the body's bytes to `body`. Returns how many
  // bytes of the input belonged to the body's coding. Fails with
  // kMalformedFrame.
  Result<size_t> Read(std::string_view input, std::string& body);

  // Whether the body's end was read.
  bool is_whole() const { return this->is_complete; }

  BodyFraming framing() const { return this->message_framing.framing; }

 private:
  Result<size_t> ReadChunked(std::string_view input, std::string& body);

  MessageFraming message_framing;
  uint64_t remaining_bytes = 0;
  bool is_complete = false;
  // The state of h2o's chunked decoder, see Parser.cc.
  size_t chunk_bytes_left = 0;
  char chunk_hex_digits = 0;
  char chunk_state = 0;
};

}  // namespace bramleyspan::http
