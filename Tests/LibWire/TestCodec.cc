#include <doctest/doctest.h>

#include "LibWire/Codec.h"

namespace bramleyspan::wire {

TEST_CASE("a message is unchanged after encoding and decoding") {
  CallT call;
  call.call = 7;
  call.body = std::string("a\0b", 3);
  const std::string bytes = Encode(std::move(call));
  const auto frame = Decode(std::string_view(bytes).substr(kLengthPrefixBytes));
  REQUIRE(frame.has_value());
  REQUIRE(frame.value().body.AsCall() != nullptr);
  CHECK(frame.value().body.AsCall()->body == std::string("a\0b", 3));
}

TEST_CASE("a truncated frame is refused as kMalformedFrame") {
  const std::string bytes = Encode(LeavingT{});
  const auto frame =
      Decode(std::string_view(bytes).substr(kLengthPrefixBytes, 9));
  REQUIRE(frame.has_error());
  CHECK(frame.error().code == ErrorCode::kMalformedFrame);
}

}  // namespace bramleyspan::wire
