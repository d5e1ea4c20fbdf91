#include <doctest/doctest.h>

#include "LibGateway/PromptParts.h"

namespace bramleyspan::gateway {

using Parts = std::vector<std::string>;

TEST_CASE("All parts of a prompt but the last are shared") {
  CHECK(ParseSharedParts("5c1e:800,91bd:410,e440:250") ==
        Parts{"5c1e", "91bd"});
  CHECK(ParseSharedParts("e440:250").empty());
  CHECK(ParseSharedParts("").empty());
}

TEST_CASE("Parts are the same however they are written") {
  CHECK(ParseSharedParts(" 5C1E : 800 , 91bd,5c1e:1,e440:250") ==
        Parts{"5c1e", "91bd"});
}

// Failure: an id that is no UTF-8 ends the process that writes it down.
TEST_CASE("An id that is no text is replaced by a digest of it") {
  const auto parts = ParseSharedParts("a\xff:1,a\xfe:1,\xc3\xa4:1,own:1");
  REQUIRE(parts.size() == 3);
  CHECK(parts[0].starts_with("bytes-"));
  CHECK(parts[0].size() <= kMaxPartIdBytes);
  CHECK(parts[0] != parts[1]);
  CHECK(parts[2] == "\xc3\xa4");
  CHECK(parts == ParseSharedParts("A\xff:1,A\xfe:1,\xc3\xa4:1,own:1"));
}

TEST_CASE("Unusable and too many parts are left out") {
  CHECK(ParseSharedParts(",:3,a:1,b:2") == Parts{"a"});
  CHECK(ParseSharedParts(std::string(kMaxPartIdBytes + 1, 'f') + ":1,b:2")
            .empty());
  std::string list;
  for (size_t i = 0; i < 2 * kMaxParts; ++i) {
    list += std::to_string(i) + ":1,";
  }
  CHECK(ParseSharedParts(list + "b:2").size() == kMaxParts);
}

}  // namespace bramleyspan::gateway
