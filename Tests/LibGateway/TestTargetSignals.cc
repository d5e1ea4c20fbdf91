#include <doctest/doctest.h>

#include "LibGateway/TargetSignals.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
const CallHeaders kNames{.rate_limit = "limit"};

AnswerSignals SignalsOf(const std::string& limit) {
  return ParseSignals(kNames, 200, {{"limit", limit}});
}

}  // namespace

TEST_CASE("A limit is a decimal number of 0 or more") {
  CHECK(SignalsOf("0").rate_limit == 0);
  CHECK(SignalsOf("1.1").rate_limit == 1.1);
  CHECK(SignalsOf("250").rate_limit == 250);
  CHECK_FALSE(ParseSignals(kNames, 200, {}).rate_limit.has_value());
  CHECK_FALSE(ParseSignals(kNames, 200, {}).is_rate_limit_unreadable);
  for (const char* text :
       {"-1", "many", "1 a second", "inf", "nan", "1e3", "1,5", "0x10"}) {
    CAPTURE(text);
    CHECK_FALSE(SignalsOf(text).rate_limit.has_value());
    CHECK(SignalsOf(text).is_rate_limit_unreadable);
  }
}

TEST_CASE("A backoff comes with a rejection and is a number of seconds") {
  const auto backoff_of = [](int status, const std::string& text) {
    return ParseSignals(kNames, status, {{"retry-after", text}});
  };
  CHECK(backoff_of(503, "3").backoff == std::chrono::seconds(3));
  CHECK(backoff_of(503, "0.25").backoff == std::chrono::milliseconds(250));
  CHECK(backoff_of(429, "1").backoff == std::chrono::seconds(1));
  CHECK(backoff_of(503, "0").backoff == Duration(0));
  CHECK(backoff_of(503, "1000000").backoff == std::chrono::hours(1));
  CHECK_FALSE(backoff_of(200, "3").backoff.has_value());
  CHECK_FALSE(ParseSignals(kNames, 503, {}).backoff.has_value());
  for (const char* text : {"-1", "soon", "Fri, 04 Dec 2026 08:00:00 GMT"}) {
    CHECK_FALSE(backoff_of(503, text).backoff.has_value());
    CHECK(backoff_of(503, text).is_backoff_unreadable);
  }
}

TEST_CASE("Of overlapping backoffs the one that ends last counts") {
  const TimePoint start{std::chrono::seconds(100)};
  Backoff backoff;
  CHECK(RecordBackoff(backoff, std::chrono::seconds(3), start));
  CHECK_FALSE(RecordBackoff(backoff, std::chrono::seconds(1),
                            start + std::chrono::seconds(1)));
  CHECK(backoff.until == start + std::chrono::seconds(3));
  CHECK_FALSE(RecordBackoff(backoff, std::chrono::seconds(3),
                            start + std::chrono::seconds(1)));
  CHECK(backoff.until == start + std::chrono::seconds(4));
  CHECK(backoff.since == start);
  CHECK(RecordBackoff(backoff, std::chrono::seconds(1),
                      start + std::chrono::seconds(5)));
}

}  // namespace bramleyspan::gateway
