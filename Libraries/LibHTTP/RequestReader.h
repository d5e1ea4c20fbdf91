// Takes the bytes of a connection apart into requests.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "LibHTTP/IngressLimits.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::http {

// The request that is coming on a connection.
struct RequestReader {
  // Bytes that have come and belong to no part yet.
  std::string input;
  std::optional<RequestHead> head;
  MessageFraming framing;
  BodyReader body_reader;
  std::string body;
  // Bytes that the body took on the connection, with all that frames it.
  size_t framed_bytes = 0;
};

enum class ReadOutcome {
  kIncomplete,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

// Reads the head from the input. Empty lines before it are dropped.
ReadOutcome ReadHead(RequestReader& reader, const IngressLimits& limits);

// Reads what has come of the body, once the head is known.
ReadOutcome ReadBody(RequestReader& reader, const IngressLimits& limits);

// Returns the bytes that the request takes, the rest of its body included if
// that is announced.
size_t BytesNeeded(const RequestReader& reader);

}  // namespace bramleyspan::http
