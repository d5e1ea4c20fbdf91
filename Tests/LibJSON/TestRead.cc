#include <doctest/doctest.h>

#include "LibJSON/Read.h"

namespace bramleyspan::json_text {

namespace {

std::string Nested(size_t levels) {
  std::string text;
  for (size_t i = 0; i < levels; ++i) {
    text += i % 2 == 0 ? "[" : "{\"a\":";
  }
  text += "1";
  for (size_t i = levels; i > 0; --i) {
    text += i % 2 == 1 ? "]" : "}";
  }
  return text;
}

}  // namespace

// Failure: a text that is nested deeply ends its reader as it copies or writes
// the value.
TEST_CASE("A text is read up to a depth") {
  CHECK_FALSE(Parse(Nested(kMaxNesting)).is_discarded());
  CHECK(Parse(Nested(kMaxNesting + 1)).is_discarded());
  CHECK(Parse(Nested(500'000)).is_discarded());
  CHECK(Parse(std::string(500'000, '[')).is_discarded());
}

// Failure: bytes of another program at a peer's former address end the process.
TEST_CASE("Packed bytes are read up to a depth") {
  constexpr char kListOfOne = '\x91';
  const auto packed = [&](size_t levels) {
    return std::string(levels, kListOfOne) + '\x01';
  };
  CHECK_FALSE(ParsePacked(packed(kMaxNesting)).is_discarded());
  CHECK(ParsePacked(packed(kMaxNesting + 1)).is_discarded());
  CHECK(ParsePacked(packed(10'000'000)).is_discarded());
  CHECK(ParsePacked("\x92\x01").is_discarded());
  CHECK(ParsePacked("").is_discarded());
  const nlohmann::json value = {{"a", {1, "b"}}, {"c", nullptr}};
  const auto bytes = nlohmann::json::to_msgpack(value);
  CHECK(ParsePacked({reinterpret_cast<const char*>(bytes.data()),
                     bytes.size()}) == value);
}

TEST_CASE("Brackets in strings are no depth") {
  const std::string brackets(1000, '[');
  CHECK(Parse("\"" + brackets + "\"") == brackets);
  CHECK(Parse("[\"\\\"" + brackets + "\"]")[0] == "\"" + brackets);
  CHECK(Parse("[\"\\\\\", \"{\"]").size() == 2);
  CHECK_FALSE(Parse("[[],[],[]]").is_discarded());
  // The string ends behind its escaped backslash.
  CHECK(Parse("[\"\\\\\"," + Nested(kMaxNesting) + "]").is_discarded());
}

TEST_CASE("Malformed texts are discarded") {
  for (const char* text : {"", "{", "]", "nul", "{\"a\":}", "\"\\", "1 2"}) {
    CAPTURE(text);
    CHECK(Parse(text).is_discarded());
  }
}

TEST_CASE("Members of another type or beyond a bound are none") {
  const auto source = Parse(
      R"({"text":"a","number":7,"negative":-1,"real":1.5,"large":1e300,"none":null,
          "larger":18446744073709551616})");
  CHECK(FindText(source, "text") == "a");
  CHECK_FALSE(FindText(source, "number"));
  CHECK_FALSE(FindText(source, "absent"));
  CHECK_FALSE(FindText(Parse("[1]"), "text"));
  CHECK_FALSE(FindText(Parse("nul"), "text"));
  CHECK(FindUnsigned(source, "number") == 7);
  CHECK(FindUnsigned(source, "number", 7) == 7);
  CHECK_FALSE(FindUnsigned(source, "number", 6));
  for (const char* name :
       {"text", "negative", "real", "large", "larger", "none", "absent"}) {
    CAPTURE(name);
    CHECK_FALSE(FindUnsigned(source, name));
  }
}

TEST_CASE("Bytes are text if they are UTF-8") {
  for (const char* text :
       {"", "a", "a\n", "\xc3\xa4", "\xf0\x9f\x98\x80", "\xef\xbf\xbd"}) {
    CAPTURE(text);
    CHECK(is_text(text));
  }
  for (const char* bytes : {"\xff", "a\xc3", "\xc3(", "\x80", "\xed\xa0\x80",
                            "\xc0\xaf", "\xef\xbf\xbd\xff"}) {
    CAPTURE(bytes);
    CHECK_FALSE(is_text(bytes));
  }
}

// Failure: a text of a caller that is no UTF-8 ends the process as it is
// written.
TEST_CASE("A text that is no UTF-8 is written") {
  CHECK(Write({{"part", "a\xff"}}) == "{\"part\":\"a\xef\xbf\xbd\"}");
}

}  // namespace bramleyspan::json_text
