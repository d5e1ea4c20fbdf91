#include <doctest/doctest.h>

#include "LibGateway/TargetSignals.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
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

TEST_CASE("A limit holds until an answer to a later request names none") {
  RateLimit limit;
  CHECK(RecordRateLimit(limit, SignalsOf("2"), kStart, kStart + seconds(1)));
  CHECK(limit.per_second == 2);
  // Sent before the target named its limit, answered after it.
  CHECK_FALSE(RecordRateLimit(limit, {}, kStart, kStart + seconds(2)));
  CHECK(limit.per_second == 2);
  CHECK(RecordRateLimit(limit, {}, kStart + seconds(2), kStart + seconds(3)));
  CHECK_FALSE(limit.per_second.has_value());
}

TEST_CASE("A limit that rises, falls or cannot be read") {
  RateLimit limit;
  RecordRateLimit(limit, SignalsOf("2"), kStart, kStart);
  CHECK(RecordRateLimit(limit, SignalsOf("3.5"), kStart, kStart + seconds(1)));
  CHECK(limit.per_second == 3.5);
  CHECK(RecordRateLimit(limit, SignalsOf("0"), kStart, kStart + seconds(2)));
  CHECK(limit.per_second == 0);
  CHECK_FALSE(RecordRateLimit(limit, SignalsOf("none"), kStart + seconds(3),
                              kStart + seconds(4)));
  CHECK(limit.per_second == 0);
  CHECK(limit.since == kStart + seconds(2));
}

}  // namespace bramleyspan::gateway
