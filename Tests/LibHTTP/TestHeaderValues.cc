#include "LibHTTP/HeaderValues.h"

#include <doctest/doctest.h>

namespace bramleyspan::http {

// Failure: a time that no duration holds is taken for a negative one.
TEST_CASE("A time in milliseconds is bounded") {
  CHECK(ParseMilliseconds("5000") == std::chrono::seconds(5));
  CHECK(ParseMilliseconds("0.5") == std::chrono::microseconds(500));
  CHECK(ParseMilliseconds("0") == Duration(0));
  for (const char* text : {"86400000", "9223372036854776",
                           "9223372036854775807", "99999999999999999999999"}) {
    CAPTURE(text);
    CHECK(ParseMilliseconds(text) == std::chrono::hours(24));
  }
  for (const char* text : {"", "-1", "12x", "1e9", "inf", "nan", " 1"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseMilliseconds(text));
  }
}

}  // namespace bramleyspan::http
