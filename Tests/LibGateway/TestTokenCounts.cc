#include "LibGateway/TokenCounts.h"

#include <doctest/doctest.h>

namespace bramleyspan::gateway {

TEST_CASE("Token counts are one number or two, and nothing else") {
  const auto both = ParseTokenCounts("100,40");
  REQUIRE(both);
  CHECK(both->prompt == 100);
  CHECK(both->answer == 40);
  const auto one = ParseTokenCounts("100");
  REQUIRE(one);
  CHECK(one->prompt == 100);
  CHECK(!one->answer);
  for (const char* const text :
       {"", ",", "x", "12x", "12x,40", "-1,40", "100,", "100,4x", "100,40,7",
        "100,-4", "18446744073709551616,40"}) {
    CAPTURE(text);
    CHECK(!ParseTokenCounts(text));
  }
}

}  // namespace bramleyspan::gateway
