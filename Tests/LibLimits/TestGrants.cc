#include "LibLimits/Grants.h"

#include <doctest/doctest.h>

#include "LibLimits/RetryBudget.h"

namespace bramleyspan::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin = TimePoint{} + seconds(100);
constexpr GrantSettings kSettings;

void Grant(Share& share, uint64_t request_number, double granted) {
  HandleGrant(share, kSettings, request_number, granted, milliseconds(100),
              kBegin);
}

}  // namespace

TEST_CASE("a grant is spent, then a new one is requested") {
  Share share;
  CHECK(Spend(share, kSettings, 1, kBegin).outcome ==
        SpendOutcome::kRequestGrant);
  CHECK(StartGrantRequest(share, kSettings, 1, kBegin) == doctest::Approx(1));
  Grant(share, share.request_number, 1);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome == SpendOutcome::kAdmit);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome ==
        SpendOutcome::kRequestGrant);
}

// Failure: a request that waited for a grant counted twice in the rate by which
// an entry process requests ahead, and a refused one counted as well.
TEST_CASE("a use is counted once, when it is admitted") {
  Share share;
  for (int i = 0; i < 10; ++i) {
    Spend(share, kSettings, 1, kBegin);
    StartGrantRequest(share, kSettings, 1, kBegin);
    Grant(share, share.request_number, 1);
    CHECK(Spend(share, kSettings, 1, kBegin).outcome == SpendOutcome::kAdmit);
  }
  CHECK(share.rate == doctest::Approx(10));
  Grant(share, share.request_number, 0);
  Spend(share, kSettings, 1, kBegin);
  CHECK(share.rate == doctest::Approx(10));
}

// Failure: an owner exceeds its limit during a network partition. Entry
// processes that lost the allocator use their fallback share and still spend
// what it granted before.
TEST_CASE("the fallback share and a grant are never spent together") {
  Share share;
  StartGrantRequest(share, kSettings, 10, kBegin);
  Grant(share, share.request_number, 10);
  StartGrantRequest(share, kSettings, 10, kBegin);
  const uint64_t late = share.request_number;
  HandleGrantRequestTimeout(share, kSettings, 9, 9, kBegin);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome == SpendOutcome::kRefuse);
  // A reply that comes after the timeout is void as well.
  Grant(share, late, 10);
  CHECK(share.granted == 0);
  const TimePoint later = kBegin + milliseconds(1000);
  StartGrantRequest(share, kSettings, 1, later);
  HandleGrantRequestTimeout(share, kSettings, 9, 9, later);
  CHECK(Spend(share, kSettings, 1, later).outcome == SpendOutcome::kAdmit);
  // A grant ends the use of the fallback share.
  StartGrantRequest(share, kSettings, 1, later);
  Grant(share, share.request_number, 0);
  CHECK_FALSE(share.is_using_fallback);
}

// Failure: each side of a network partition has its own allocator that hands
// out the whole limit, and the owner gets twice its limit.
TEST_CASE("allocators on both sides of a partition together grant the limit") {
  Allocator six;
  Allocator three;
  SetLimit(six, kSettings, 90, 6, 9, kBegin);
  SetLimit(three, kSettings, 90, 3, 9, kBegin);
  double granted = 0;
  for (int i = 1; i <= 100; ++i) {
    const TimePoint now = kBegin + i * milliseconds(100);
    granted += HandleGrantRequest(six, 100, 1, now) +
               HandleGrantRequest(three, 100, 1, now);
  }
  CHECK(granted <= 900);
  CHECK(granted >= 880);
}

// Failure: each change of allocator admits a burst on top of what the previous
// one has just granted.
TEST_CASE("a new allocator starts with an empty bucket") {
  Allocator allocator;
  SetLimit(allocator, kSettings, 100, 9, 9, kBegin);
  CHECK(HandleGrantRequest(allocator, 10, 1, kBegin) == 0);
  CHECK(HandleGrantRequest(allocator, 10, 1, kBegin + milliseconds(100)) ==
        doctest::Approx(10));
}

// Failure: the allocator is overloaded with requests exactly when an owner is
// far above its limit.
TEST_CASE("after an empty grant an entry process refuses by itself") {
  Share share;
  StartGrantRequest(share, kSettings, 1, kBegin);
  Grant(share, share.request_number, 0);
  const auto decision = Spend(share, kSettings, 1, kBegin);
  CHECK(decision.outcome == SpendOutcome::kRefuse);
  CHECK(decision.retry_after == milliseconds(100));
  CHECK(Spend(share, kSettings, 1, kBegin + milliseconds(100)).outcome ==
        SpendOutcome::kRequestGrant);
}

TEST_CASE("a grant that is not spent in time expires") {
  Share share;
  StartGrantRequest(share, kSettings, 10, kBegin);
  Grant(share, share.request_number, 10);
  const TimePoint later = kBegin + kSettings.grant_lifetime;
  CHECK(Spend(share, kSettings, 1, later).outcome ==
        SpendOutcome::kRequestGrant);
}

TEST_CASE(
    "all entry processes choose the same allocator, and few owners move") {
  std::vector<std::string> entries{"entry-1", "entry-2", "entry-3", "entry-4"};
  const std::string allocator = AllocatorOf("studio-huber", entries);
  std::ranges::reverse(entries);
  CHECK(AllocatorOf("studio-huber", entries) == allocator);
  std::erase_if(entries, [&](const auto& entry) { return entry != allocator; });
  CHECK(AllocatorOf("studio-huber", entries) == allocator);
  CHECK(AllocatorOf("studio-huber", {}).empty());
}

// Failure: a third of the targets die, every request is repeated at once, and
// second attempts keep the other targets overloaded after the cause is gone.
TEST_CASE(
    "retries are limited to a share of first attempts, per owner and in "
    "total") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    RecordFirstAttempt(budget, "huber");
    retries += TakeRetry(budget, "huber");
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
  // One owner's retry storm must not use up another owner's retries for good.
  for (int i = 0; i < 20; ++i) {
    RecordFirstAttempt(budget, "maier");
  }
  CHECK(TakeRetry(budget, "maier"));
}

}  // namespace bramleyspan::limits
