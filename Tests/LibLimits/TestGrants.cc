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

TEST_CASE("a grant is spent and then asked for again") {
  Share share;
  CHECK(Spend(share, kSettings, 1, kBegin).outcome ==
        SpendOutcome::kRequestGrant);
  CHECK(StartGrantRequest(share, kSettings, 1, kBegin) == doctest::Approx(1));
  Grant(share, share.request_number, 1);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome == SpendOutcome::kAdmit);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome ==
        SpendOutcome::kRequestGrant);
}

// An owner gets more than it agreed to while a zone is parted: entries that
// lost the keeper live on their floor and still spend what it granted before.
TEST_CASE("never both the floor and a grant") {
  Share share;
  StartGrantRequest(share, kSettings, 10, kBegin);
  Grant(share, share.request_number, 10);
  StartGrantRequest(share, kSettings, 10, kBegin);
  const uint64_t late = share.request_number;
  HandleGrantRequestTimeout(share, kSettings, 9, 9, kBegin);
  CHECK(Spend(share, kSettings, 1, kBegin).outcome == SpendOutcome::kRefuse);
  // The reply that comes after the timeout is void as well.
  Grant(share, late, 10);
  CHECK(share.granted == 0);
  const TimePoint later = kBegin + milliseconds(1000);
  StartGrantRequest(share, kSettings, 1, later);
  HandleGrantRequestTimeout(share, kSettings, 9, 9, later);
  CHECK(Spend(share, kSettings, 1, later).outcome == SpendOutcome::kAdmit);
  // With a grant the floor stops.
  StartGrantRequest(share, kSettings, 1, later);
  Grant(share, share.request_number, 0);
  CHECK_FALSE(share.is_using_fallback);
}

// Each half of a parted fleet has a keeper of its own and hands out the whole
// limit: the owner gets twice what it agreed to.
TEST_CASE("the keepers of a parted fleet hand out the limit together") {
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

// Every replaced keeper gives a burst on top of what the one before it has
// just handed out.
TEST_CASE("a new keeper starts with an empty bucket") {
  Allocator allocator;
  SetLimit(allocator, kSettings, 100, 9, 9, kBegin);
  CHECK(HandleGrantRequest(allocator, 10, 1, kBegin) == 0);
  CHECK(HandleGrantRequest(allocator, 10, 1, kBegin + milliseconds(100)) ==
        doctest::Approx(10));
}

// The keeper drowns in asks exactly when an owner is far over its limit.
TEST_CASE("after an empty grant an entry refuses by itself") {
  Share share;
  StartGrantRequest(share, kSettings, 1, kBegin);
  Grant(share, share.request_number, 0);
  const auto decision = Spend(share, kSettings, 1, kBegin);
  CHECK(decision.outcome == SpendOutcome::kRefuse);
  CHECK(decision.retry_after == milliseconds(100));
  CHECK(Spend(share, kSettings, 1, kBegin + milliseconds(100)).outcome ==
        SpendOutcome::kRequestGrant);
}

TEST_CASE("a grant that is not used in time is void") {
  Share share;
  StartGrantRequest(share, kSettings, 10, kBegin);
  Grant(share, share.request_number, 10);
  const TimePoint later = kBegin + kSettings.grant_lifetime;
  CHECK(Spend(share, kSettings, 1, later).outcome ==
        SpendOutcome::kRequestGrant);
}

TEST_CASE("one keeper is named whichever entry asks, and few owners move") {
  std::vector<std::string> entries{"entry-1", "entry-2", "entry-3", "entry-4"};
  const std::string allocator = AllocatorOf("studio-huber", entries);
  std::ranges::reverse(entries);
  CHECK(AllocatorOf("studio-huber", entries) == allocator);
  std::erase_if(entries, [&](const auto& entry) { return entry != allocator; });
  CHECK(AllocatorOf("studio-huber", entries) == allocator);
  CHECK(AllocatorOf("studio-huber", {}).empty());
}

// A third of the targets die, every request is sent again at once, and the
// rest stay overloaded with second attempts long after the cause is gone.
TEST_CASE("retries are a share of first attempts, by owner and in all") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    RecordFirstAttempt(budget, "huber");
    retries += TakeRetry(budget, "huber");
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
  // One owner's storm must not use up another's retries for good.
  for (int i = 0; i < 20; ++i) {
    RecordFirstAttempt(budget, "maier");
  }
  CHECK(TakeRetry(budget, "maier"));
}

}  // namespace bramleyspan::limits
