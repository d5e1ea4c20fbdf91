#include <doctest/doctest.h>

#include "LibGateway/TargetSignals.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
const CallHeaders kNames{.rate_limit = "limit"};

AnswerSignals SignalsOf(const std::string& limit) {
  return ParseSignals(kNames, {{"limit", limit}});
}

}  // namespace

TEST_CASE("A limit is a decimal number of 0 or more") {
  CHECK(SignalsOf("0").rate_limit == 0);
  CHECK(SignalsOf("1.1").rate_limit == 1.1);
  CHECK(SignalsOf("250").rate_limit == 250);
  CHECK_FALSE(ParseSignals(kNames, {}).rate_limit.has_value());
  CHECK_FALSE(ParseSignals(kNames, {}).is_rate_limit_unreadable);
  for (const char* text :
       {"-1", "many", "1 a second", "inf", "nan", "1e3", "1,5", "0x10"}) {
    CAPTURE(text);
    CHECK_FALSE(SignalsOf(text).rate_limit.has_value());
    CHECK(SignalsOf(text).is_rate_limit_unreadable);
  }
}

}  // namespace bramleyspan::gateway
