#include "LibHTTP/Parser.h"

#include <sys/types.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

// Declarations of picohttpparser. libh2o exports its symbols, but the Debian
// package lacks its header.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" {
struct phr_header {
  const char* name;
  size_t name_len;
  const char* value;
  size_t value_len;
};
struct phr_chunked_decoder {
  size_t bytes_left_in_chunk;
  char consume_trailer;
  char hex_count;
  char state;
};
int phr_parse_request(const char* buf,
                      size_t len,
                      const char** method,
                      size_t* method_len,
                      const char** path,
                      size_t* path_len,
                      int* minor_version,
                      phr_header* headers,
                      size_t* num_headers,
                      size_t last_len);
int phr_parse_response(const char* buf,
                       size_t len,
                       int* minor_version,
                       int* status,
                       const char** msg,
                       size_t* msg_len,
                       phr_header* headers,
                       size_t* num_headers,
                       size_t last_len);
ssize_t phr_decode_chunked(phr_chunked_decoder* decoder,
                           char* buf,
                           size_t* bufsz);
}
// NOLINTEND(readability-identifier-naming)

namespace bramleyspan::http {

namespace {

// Heads with more headers are parsed once more, with room for all of them:
// bounds belong to the bytes of a head.
constexpr size_t kUsualHeaders = 100;
constexpr size_t kMaxHeaders = 16384;
constexpr int kIncomplete = -2;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

using RawHeaders = std::vector<phr_header>;

// Calls `parse` with room for the headers of `bytes`. Returns what it returns.
template <typename Parse>
int ParseWithRoom(std::string_view bytes,
                  RawHeaders& raw,
                  size_t& count,
                  const Parse& parse) {
  raw.resize(kUsualHeaders);
  count = raw.size();
  const int parsed = parse(raw, count);
  const bool is_full = parsed < 0 && count == raw.size();
  if (!is_full) {
    return parsed;
  }
  const auto lines =
      static_cast<size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
  raw.resize(std::clamp(lines, kUsualHeaders, kMaxHeaders));
  count = raw.size();
  return parse(raw, count);
}

bool is_equal_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

// Returns nullopt if a header line is folded: receivers differ on whether they
// join such lines (RFC 9112, section 5.2).
std::optional<HeaderList> ToHeaderList(const RawHeaders& raw, size_t count) {
  HeaderList headers;
  headers.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    if (raw[i].name == nullptr) {
      return std::nullopt;
    }
    std::string name(raw[i].name, raw[i].name_len);
    for (char& letter : name) {
      letter =
          static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    headers.emplace_back(std::move(name),
                         std::string(raw[i].value, raw[i].value_len));
  }
  return headers;
}

// The value of the Content-Length headers; invalid if they differ or are not
// numbers.
struct LengthHeaders {
  bool is_present = false;
  bool is_valid = true;
  uint64_t length = 0;
};

LengthHeaders FindLength(const HeaderList& headers) {
  LengthHeaders found;
  for (const auto& [name, value] : headers) {
    if (name != "content-length") {
      continue;
    }
    uint64_t length = 0;
    const char* end = value.data() + value.size();
    const auto [stop, failure] = std::from_chars(value.data(), end, length);
    const bool is_number = failure == std::errc{} && stop == end;
    const bool is_same = !found.is_present || found.length == length;
    found.is_valid = found.is_valid && is_number && is_same;
    found.is_present = true;
    found.length = length;
  }
  return found;
}

// The transfer coding of the Transfer-Encoding headers. is_chunked is true only
// for a single header "chunked".
struct TransferCoding {
  bool is_present = false;
  bool is_chunked = false;
};

TransferCoding FindTransferCoding(const HeaderList& headers) {
  TransferCoding found;
  for (const auto& [name, value] : headers) {
    if (name != "transfer-encoding") {
      continue;
    }
    found.is_chunked =
        !found.is_present && is_equal_ignoring_case(value, "chunked");
    found.is_present = true;
  }
  return found;
}

}  // namespace

bool has_token(std::string_view value, std::string_view word) {
  while (true) {
    const size_t comma = value.find(',');
    std::string_view item = value.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (is_equal_ignoring_case(item, word)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    value.remove_prefix(comma + 1);
  }
}

Result<std::optional<RequestHead>> ParseRequestHead(std::string_view bytes) {
  RawHeaders raw;
  size_t count = 0;
  RequestHead head;
  const char* method = nullptr;
  size_t method_length = 0;
  const char* target = nullptr;
  size_t target_length = 0;
  const int parsed = ParseWithRoom(
      bytes, raw, count, [&](RawHeaders& headers, size_t& header_count) {
        return phr_parse_request(bytes.data(), bytes.size(), &method,
                                 &method_length, &target, &target_length,
                                 &head.minor_version, headers.data(),
                                 &header_count, 0);
      });
  if (parsed == kIncomplete) {
    return std::optional<RequestHead>();
  }
  if (parsed < 0) {
    return Fail(ErrorCode::kMalformedRequest, "head", "it cannot be parsed");
  }
  auto headers = ToHeaderList(raw, count);
  if (!headers) {
    return Fail(ErrorCode::kMalformedRequest, "head", "a line is folded");
  }
  head.method.assign(method, method_length);
  head.target.assign(target, target_length);
  head.headers = *std::move(headers);
  head.bytes = static_cast<size_t>(parsed);
  return std::optional<RequestHead>(std::move(head));
}

Result<std::optional<AnswerHead>> ParseAnswerHead(std::string_view bytes) {
  RawHeaders raw;
  size_t count = 0;
  AnswerHead head;
  const char* reason = nullptr;
  size_t reason_length = 0;
  const int parsed = ParseWithRoom(
      bytes, raw, count, [&](RawHeaders& headers, size_t& header_count) {
        return phr_parse_response(
            bytes.data(), bytes.size(), &head.minor_version, &head.status,
            &reason, &reason_length, headers.data(), &header_count, 0);
      });
  if (parsed == kIncomplete) {
    return std::optional<AnswerHead>();
  }
  if (parsed < 0) {
    return Fail(ErrorCode::kMalformedFrame, "head", "it cannot be parsed");
  }
  auto headers = ToHeaderList(raw, count);
  if (!headers) {
    return Fail(ErrorCode::kMalformedFrame, "head", "a line is folded");
  }
  // A status of another range is none (RFC 9110, section 15).
  if (head.status < kFirstStatus || head.status > kLastStatus) {
    return Fail(ErrorCode::kMalformedFrame, "head", "its status is none");
  }
  head.headers = *std::move(headers);
  head.bytes = static_cast<size_t>(parsed);
  return std::optional<AnswerHead>(std::move(head));
}

Result<MessageFraming> FramingOfRequest(const RequestHead& head) {
  const LengthHeaders length = FindLength(head.headers);
  const TransferCoding coding = FindTransferCoding(head.headers);
  if (!length.is_valid || (coding.is_present && length.is_present) ||
      (coding.is_present && !coding.is_chunked)) {
    return Fail(ErrorCode::kMalformedRequest, "body",
                "its length is told in contradictory ways");
  }
  if (coding.is_chunked) {
    return MessageFraming{.framing = BodyFraming::kChunked};
  }
  if (length.is_present && length.length > 0) {
    return MessageFraming{.framing = BodyFraming::kLength,
                          .length = length.length};
  }
  return MessageFraming{};
}

Result<MessageFraming> FramingOfAnswer(const AnswerHead& head,
                                       std::string_view method) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const LengthHeaders length = FindLength(head.headers);
  const TransferCoding coding = FindTransferCoding(head.headers);
  if (!length.is_valid || (coding.is_present && length.is_present) ||
      (coding.is_present && !coding.is_chunked)) {
    return Fail(ErrorCode::kMalformedFrame, "body",
                "its length is told in contradictory ways");
  }
  if (method == "HEAD" || head.status == kNoContent ||
      head.status == kNotModified) {
    return MessageFraming{};
  }
  if (coding.is_chunked) {
    return MessageFraming{.framing = BodyFraming::kChunked};
  }
  if (length.is_present) {
    return MessageFraming{.framing = length.length == 0 ? BodyFraming::kNone
                                                        : BodyFraming::kLength,
                          .length = length.length};
  }
  return MessageFraming{.framing = BodyFraming::kUntilClose};
}

bool is_interim(const AnswerHead& head) {
  return head.status < kFirstFinalStatus;
}

bool is_valid_interim(const AnswerHead& head) {
  constexpr int kSwitchingProtocols = 101;
  const LengthHeaders length = FindLength(head.headers);
  return head.status != kSwitchingProtocols && length.is_valid &&
         length.length == 0 && !FindTransferCoding(head.headers).is_present;
}

bool is_persistent(const HeaderList& headers, int minor_version) {
  bool is_closed = minor_version == 0;
  for (const auto& [name, value] : headers) {
    if (name != "connection") {
      continue;
    }
    if (has_token(value, "close")) {
      return false;
    }
    if (has_token(value, "keep-alive")) {
      is_closed = false;
    }
  }
  return !is_closed;
}

BodyReader::BodyReader(MessageFraming message_framing)
    : message_framing(message_framing),
      remaining_bytes(message_framing.length),
      is_complete(message_framing.framing == BodyFraming::kNone) {}

Result<size_t> BodyReader::Read(std::string_view input, std::string& body) {
  if (this->is_complete) {
    return size_t{0};
  }
  switch (this->message_framing.framing) {
    case BodyFraming::kNone:
      return size_t{0};
    case BodyFraming::kUntilClose:
      body.append(input);
      return input.size();
    case BodyFraming::kLength: {
      const size_t consumed =
          std::min<uint64_t>(input.size(), this->remaining_bytes);
      body.append(input.substr(0, consumed));
      this->remaining_bytes -= consumed;
      this->is_complete = this->remaining_bytes == 0;
      return consumed;
    }
    case BodyFraming::kChunked:
      return this->ReadChunked(input, body);
  }
  return size_t{0};
}

Result<size_t> BodyReader::ReadChunked(std::string_view input,
                                       std::string& body) {
  phr_chunked_decoder decoder{.bytes_left_in_chunk = this->chunk_bytes_left,
                              .consume_trailer = 1,
                              .hex_count = this->chunk_hex_digits,
                              .state = this->chunk_state};
  std::vector<char> decoded(input.begin(), input.end());
  size_t size = decoded.size();
  const ssize_t rest = phr_decode_chunked(&decoder, decoded.data(), &size);
  if (rest == -1) {
    return Fail(ErrorCode::kMalformedFrame, "body", "a chunk is malformed");
  }
  body.append(decoded.data(), size);
  this->chunk_bytes_left = decoder.bytes_left_in_chunk;
  this->chunk_hex_digits = decoder.hex_count;
  this->chunk_state = decoder.state;
  if (rest == kIncomplete) {
    return input.size();
  }
  this->is_complete = true;
  return input.size() - static_cast<size_t>(rest);
}

}  // namespace bramleyspan::http
