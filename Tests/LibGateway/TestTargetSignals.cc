#include <doctest/doctest.h>

#include "LibGateway/HoldOutlook.h"
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

// Failure: a target that rejects requests for a time counts as failing or slow
// long after it.
TEST_CASE("A target that backed off is chosen like others afterwards") {
  const TimePoint now{std::chrono::seconds(100)};
  TargetTable table;
  for (const uint16_t port : {80, 81}) {
    ApplyTarget(table, {.id = port == 80 ? "a" : "b",
                        .service = "invoices",
                        .address = {"10.0.0.1", port}});
  }
  table.by_id["b"].open = 1;
  limits::RecordBackoff(table.signals["a"].backoff, std::chrono::seconds(2),
                        now);
  RecordOutcome(table, "a", Outcome::kBackedOff, now);
  const auto choose = [&table](TimePoint at) {
    return ChooseLeastLoaded(table, "invoices", {}, "", 1, at)->target.id;
  };
  CHECK(choose(now + std::chrono::milliseconds(1999)) == "b");
  CHECK(choose(now + std::chrono::seconds(2)) == "a");
  CHECK_FALSE(FindHoldOutlook(table, "invoices", {}, now).has_value());
  limits::RecordBackoff(table.signals["b"].backoff, std::chrono::seconds(1),
                        now);
  const auto outlook = FindHoldOutlook(table, "invoices", {}, now);
  REQUIRE(outlook.has_value());
  CHECK(ReleaseOf(*outlook, 5, 6) == now + std::chrono::seconds(1));
}

}  // namespace bramleyspan::gateway
