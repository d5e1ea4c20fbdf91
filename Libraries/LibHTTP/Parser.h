// Parses HTTP/1 heads and bodies with the parser that h2o uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibHTTP/Message.h"

namespace bramleyspan::http {

// The start line and headers of a request, and the number of bytes they take.
struct RequestHead {
  std::string method;
  std::string target;
  int minor_version = 1;
  HeaderList headers;
  size_t bytes = 0;
};

// The status line and headers of an answer, and the number of bytes they take.
struct AnswerHead {
  int status = 0;
  int minor_version = 1;
  HeaderList headers;
  size_t bytes = 0;
};

// Returns the request head at the start of `bytes`, or nullopt if it is
// incomplete. Fails with kMalformedRequest.
Result<std::optional<RequestHead>> ParseRequestHead(std::string_view bytes);

// Returns the answer head at the start of `bytes`, or nullopt if it is
// incomplete. Fails with kMalformedFrame, also if the status is not one of 100
// to 599.
Result<std::optional<AnswerHead>> ParseAnswerHead(std::string_view bytes);

// Whether another head follows this one.
bool is_interim(const AnswerHead& head);

// Whether an interim head is valid: it announces no body, and does not switch
// protocols, which no request of ours asks for.
//
// Failure: a server sends an interim head with a body, and the body is the text
// of an answer; the caller gets what the server sent as content.
bool is_valid_interim(const AnswerHead& head);

// How a receiver finds the end of a body.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// The framing of a body. `length` is set for kLength only.
struct MessageFraming {
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
};

// Returns the framing of a request body. Fails with kMalformedRequest if the
// headers contradict each other: a sender and a receiver that interpret them
// differently see different requests (request smuggling).
Result<MessageFraming> FramingOfRequest(const RequestHead& head);

// Returns the framing of the body that answers a request with `method`. Fails
// with kMalformedFrame if the headers contradict each other.
Result<MessageFraming> FramingOfAnswer(const AnswerHead& head,
                                       std::string_view method);

// Whether the connection persists after this message (RFC 9112, section 9.3).
bool is_persistent(const HeaderList& headers, int minor_version);

// Whether the comma-separated list `value` contains `word`, ignoring case.
bool has_token(std::string_view value, std::string_view word);

// Decodes a body incrementally from the bytes of a connection.
class BodyReader {
 public:
  explicit BodyReader(MessageFraming message_framing = {});

  // Appends the decoded bytes of `input` to `body`. Returns the number of bytes
  // of `input` that belong to the body. Fails with kMalformedFrame.
  Result<size_t> Read(std::string_view input, std::string& body);

  // Whether the end of the body has been read.
  bool is_whole() const { return this->is_complete; }

  BodyFraming framing() const { return this->message_framing.framing; }

 private:
  Result<size_t> ReadChunked(std::string_view input, std::string& body);

  MessageFraming message_framing;
  uint64_t remaining_bytes = 0;
  bool is_complete = false;
  // The state of phr_chunked_decoder, see Parser.cc.
  size_t chunk_bytes_left = 0;
  char chunk_hex_digits = 0;
  char chunk_state = 0;
};

}  // namespace bramleyspan::http
