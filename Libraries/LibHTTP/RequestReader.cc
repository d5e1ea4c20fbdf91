#include "LibHTTP/RequestReader.h"

#include <utility>

namespace bramleyspan::http {

namespace {

// The most bytes that frame one byte of a chunked body: its size in 16 digits
// and two line ends.
constexpr size_t kFramingOfOneByte = 20;
// A body without announced length is counted in steps of this size.
constexpr size_t kBodyStep = 16384;
// A head is held as the lines that it was taken apart into, and a second time,
// as text or as the lines that are sent on.
constexpr size_t kCopiesOfHead = 2;

// Whether chunk extensions and trailers, which are no body, take more than a
// head may.
bool is_framing_too_large(const RequestReader& reader,
                          const IngressLimits& limits) {
  return reader.framing.framing == BodyFraming::kChunked &&
         reader.framed_bytes > (kFramingOfOneByte + 1) * reader.body.size() +
                                   limits.max_head_bytes;
}

}  // namespace

ReadOutcome ReadHead(RequestReader& reader, const IngressLimits& limits) {
  // RFC 9112, section 2.2: a server ignores empty lines before a request.
  size_t begin = 0;
  while (reader.input.compare(begin, 2, "\r\n") == 0) {
    begin += 2;
  }
  reader.input.erase(0, begin);
  if (reader.input.empty()) {
    return ReadOutcome::kIncomplete;
  }
  auto parsed = ParseRequestHead(reader.input);
  if (parsed.has_error()) {
    return ReadOutcome::kMalformed;
  }
  if (!parsed.value()) {
    return reader.input.size() > limits.max_head_bytes
               ? ReadOutcome::kHeadTooLarge
               : ReadOutcome::kIncomplete;
  }
  reader.head = std::move(parsed.value());
  if (reader.head->bytes > limits.max_head_bytes) {
    return ReadOutcome::kHeadTooLarge;
  }
  const auto framing = FramingOfRequest(*reader.head);
  if (framing.has_error()) {
    return ReadOutcome::kMalformed;
  }
  reader.framing = framing.value();
  if (reader.framing.length > limits.max_body_bytes) {
    return ReadOutcome::kBodyTooLarge;
  }
  reader.input.erase(0, reader.head->bytes);
  reader.body_reader = BodyReader(reader.framing);
  reader.body.clear();
  reader.framed_bytes = 0;
  return ReadOutcome::kComplete;
}

ReadOutcome ReadBody(RequestReader& reader, const IngressLimits& limits) {
  const auto consumed = reader.body_reader.Read(reader.input, reader.body);
  if (consumed.has_error()) {
    return ReadOutcome::kMalformed;
  }
  reader.input.erase(0, consumed.value());
  reader.framed_bytes += consumed.value();
  if (reader.body.size() > limits.max_body_bytes ||
      is_framing_too_large(reader, limits)) {
    return ReadOutcome::kBodyTooLarge;
  }
  return reader.body_reader.is_whole() ? ReadOutcome::kComplete
                                       : ReadOutcome::kIncomplete;
}

size_t BytesNeeded(const RequestReader& reader) {
  if (!reader.head) {
    return reader.input.size();
  }
  const size_t steps = (reader.body.size() + kBodyStep - 1) / kBodyStep;
  // A line of a few characters takes many times its length.
  const size_t of_head = reader.head->bytes + ListBytes(reader.head->headers);
  return kCopiesOfHead * of_head +
         (reader.framing.framing == BodyFraming::kChunked
              ? steps * kBodyStep
              : static_cast<size_t>(reader.framing.length));
}

}  // namespace bramleyspan::http
