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
