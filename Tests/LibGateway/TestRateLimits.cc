#include <doctest/doctest.h>

#include "LibGateway/HoldOutlook.h"
#include "LibGateway/RateLimits.h"
#include "Tests/LibGateway/SimulatedGateways.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

AnswerSignals Named(double limit) {
  return {.rate_limit = limit};
}

// The bound of the users: in 4 s one and a half times the limit, and 5
// requests.
size_t AllowedIn4Seconds(double limit) {
  return static_cast<size_t>(1.5 * 4 * limit + 5);
}

void CheckIsKept(const SimulatedLoad& load, const SimulatedGateways& gateways) {
  CAPTURE(load.gateways);
  CAPTURE(load.limit);
  CAPTURE(load.seed);
  CHECK(gateways.MostIn(seconds(4), seconds(0)) <=
        AllowedIn4Seconds(load.limit));
}

}  // namespace

// Failure: each gateway keeps the limit for itself, and the target gets it once
// from each of them.
TEST_CASE("All gateways together keep a target's limit and use it") {
  for (const size_t count : {1, 2, 6, 42, 340}) {
    for (const double limit : {0.0, 0.1, 0.5, 1.0, 1.1, 2.5, 10.0, 60.0}) {
      const SimulatedLoad load{.gateways = count,
                               .limit = limit,
                               .requests = 3 * limit + 10,
                               .seed = count};
      SimulatedGateways gateways(load);
      gateways.Run();
      CheckIsKept(load, gateways);
      const double due =
          limit * std::chrono::duration<double>(load.run_time) / seconds(1);
      CHECK(static_cast<double>(gateways.sent().size()) >= 0.7 * due);
      CHECK(gateways.sent().size() >= 1);
    }
  }
}

TEST_CASE("A limit is kept while messages get lost") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    const SimulatedLoad load{.limit = 2, .loss = 0.2, .seed = seed};
    SimulatedGateways gateways(load);
    gateways.Run();
    CheckIsKept(load, gateways);
    CHECK(gateways.sent().size() >= 30);
  }
}

// Failure: after an allocator has died the next one grants a burst on top of
// what the first has just granted, or nobody grants anything.
TEST_CASE("A limit is kept and used after its allocators have died") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double limit : {1.0, 20.0}) {
      const SimulatedLoad load{.limit = limit, .requests = 100, .seed = seed};
      SimulatedGateways gateways(load);
      for (const int second : {5, 9, 13}) {
        gateways.At(seconds(second), [&] { gateways.KillAllocator(); });
      }
      gateways.Run();
      CheckIsKept(load, gateways);
      const auto late = std::ranges::count_if(
          gateways.sent(), [](Duration at) { return at > seconds(16); });
      CHECK(static_cast<double>(late) >= 0.4 * limit * 14);
    }
  }
}

// Failure: each gateway that restarts brings a full bucket, or grants anew what
// it had granted before.
TEST_CASE("A limit is kept while all gateways are restarted one by one") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double limit : {0.5, 1.0, 20.0}) {
      const SimulatedLoad load{.limit = limit, .requests = 100, .seed = seed};
      SimulatedGateways gateways(load);
      for (size_t i = 0; i < load.gateways; ++i) {
        gateways.At(seconds(4) + i * milliseconds(700),
                    [&gateways, i] { gateways.Restart(i); });
      }
      gateways.Run();
      CheckIsKept(load, gateways);
      CHECK(static_cast<double>(gateways.sent().size()) >= 0.6 * limit * 30);
    }
  }
}

// Failure: both sides of a partition grant the whole limit.
TEST_CASE("A limit is kept by both sides of a partition together") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double limit : {1.0, 20.0}) {
      const SimulatedLoad load{
          .gateways = 9, .limit = limit, .requests = 100, .seed = seed};
      SimulatedGateways gateways(load);
      gateways.At(seconds(6), [&] { gateways.Partition(6); });
      // After 10 s each side counts the other as gone.
      gateways.At(seconds(15), [&] { gateways.Partition(load.gateways); });
      gateways.Run();
      CheckIsKept(load, gateways);
    }
  }
}

TEST_CASE("A limit holds until an answer to a later request names none") {
  RateLimit limit;
  CHECK(RecordRateLimit(limit, Named(2), kStart, kStart + seconds(1)));
  CHECK(limit.per_second == 2);
  // Sent before the target named its limit, answered after it.
  CHECK_FALSE(RecordRateLimit(limit, {}, kStart, kStart + seconds(2)));
  CHECK(limit.per_second == 2);
  CHECK(RecordRateLimit(limit, {}, kStart + seconds(2), kStart + seconds(3)));
  CHECK_FALSE(limit.per_second.has_value());
}

TEST_CASE("A limit that rises, falls or cannot be read") {
  RateLimit limit;
  RecordRateLimit(limit, Named(2), kStart, kStart);
  CHECK(RecordRateLimit(limit, Named(3.5), kStart, kStart + seconds(1)));
  CHECK(limit.per_second == 3.5);
  CHECK(RecordRateLimit(limit, Named(0), kStart, kStart + seconds(2)));
  CHECK(limit.per_second == 0);
  CHECK_FALSE(RecordRateLimit(limit, {.is_rate_limit_unreadable = true},
                              kStart + seconds(3), kStart + seconds(4)));
  CHECK(limit.per_second == 0);
  CHECK(limit.since == kStart + seconds(2));
}

// Failure: a gateway that has just started, or that the target has not told,
// goes on sending.
TEST_CASE("A limit is learnt from other gateways, and so is its end") {
  RateLimit limit;
  CHECK(MergeRateLimit(limit, 2, kStart, kStart + seconds(1)));
  CHECK(limit.per_second == 2);
  CHECK_FALSE(MergeRateLimit(limit, std::nullopt, kStart - seconds(1),
                             kStart + seconds(2)));
  CHECK(limit.per_second == 2);
  CHECK(MergeRateLimit(limit, std::nullopt, kStart + seconds(1),
                       kStart + seconds(3)));
  CHECK_FALSE(limit.per_second.has_value());
}

// Failure: a target lowers its limit, and gateways go on spending what was
// granted before.
TEST_CASE("What was granted is void once the limit falls or ends") {
  RateLimit limit;
  RecordRateLimit(limit, Named(20), kStart, kStart);
  StartRateRequest(limit, 5, kStart);
  const uint64_t number = limit.share.request_number;
  HandleRateGrant(limit, number, {.granted = 5}, {}, kStart);
  CHECK(AdmitByRate(limit, kStart) == RateVerdict::kAdmitted);
  RecordRateLimit(limit, Named(1), kStart, kStart);
  CHECK(AdmitByRate(limit, kStart) == RateVerdict::kAskAllocator);
  SUBCASE("A late reply is void after the limit has ended and begun again") {
    StartRateRequest(limit, 5, kStart);
    const uint64_t late = limit.share.request_number;
    RecordRateLimit(limit, {}, kStart + seconds(1), kStart + seconds(1));
    RecordRateLimit(limit, Named(1), kStart, kStart + seconds(1));
    StartRateRequest(limit, 1, kStart + seconds(1));
    HandleRateGrant(limit, late, {.granted = 5}, {}, kStart + seconds(1));
    CHECK(AdmitByRate(limit, kStart + seconds(1)) ==
          RateVerdict::kAskAllocator);
  }
}

// Failure: two gateways exchange two states for ever, each newer by the delay
// of the message.
TEST_CASE("Gateways agree on the lower of two limits of the same moment") {
  RateLimit left;
  RateLimit right;
  RecordRateLimit(left, Named(2), kStart, kStart);
  RecordRateLimit(right, Named(9), kStart, kStart + milliseconds(1));
  const TimePoint now = kStart + milliseconds(5);
  CHECK_FALSE(MergeRateLimit(left, 9, right.confirmed_at, now));
  CHECK(MergeRateLimit(right, 2, left.confirmed_at, now));
  CHECK(left.per_second == 2);
  CHECK(right.per_second == 2);
}

TEST_CASE("A changed limit is reported several times, then once a second") {
  TargetTable table;
  CHECK(TakeRateReports(table, 8, kStart).empty());
  RecordRateLimit(table.signals["a"].rate_limit, Named(2), kStart, kStart);
  size_t reports = 0;
  for (int i = 0; i < 50; ++i) {
    reports += TakeRateReports(table, 8, kStart + i * milliseconds(200)).size();
  }
  CHECK(reports >= 12);
  CHECK(reports <= 15);
}

// Failure: so many targets name limits that the reports of the first ones are
// due again before those of the last ones were sent.
TEST_CASE("All of many limits are reported") {
  TargetTable table;
  for (int i = 0; i < 200; ++i) {
    RecordRateLimit(table.signals["t" + std::to_string(i)].rate_limit, Named(2),
                    kStart, kStart);
  }
  std::set<std::string> reported;
  for (int i = 0; i < 30; ++i) {
    for (const auto& target :
         TakeRateReports(table, 8, kStart + i * milliseconds(200))) {
      reported.insert(target);
    }
  }
  CHECK(reported.size() == 200);
}

// Failure: callers wait for a target that takes one request a second, and are
// refused in the end.
TEST_CASE("Targets that all hold requests back tell when they take them") {
  TargetTable table;
  for (const uint16_t port : {80, 81}) {
    ApplyTarget(table, {.id = port == 80 ? "a" : "b",
                        .service = "invoices",
                        .address = {"10.0.0.1", port}});
  }
  CHECK_FALSE(FindHoldOutlook(table, "invoices", {}, kStart).has_value());
  for (const char* id : {"a", "b"}) {
    RateLimit& limit = table.signals[id].rate_limit;
    RecordRateLimit(limit, Named(1), kStart, kStart);
    StartRateRequest(limit, 1, kStart);
    HandleRateGrant(limit, limit.share.request_number,
                    {.retry_after = milliseconds(800)}, {}, kStart);
  }
  const auto outlook = FindHoldOutlook(table, "invoices", {}, kStart);
  REQUIRE(outlook.has_value());
  CHECK(outlook->release == kStart + milliseconds(800));
  CHECK(outlook->rate == 2);
  CHECK(ReleaseOf(*outlook, 0, 4) == kStart + milliseconds(800));
  CHECK(ReleaseOf(*outlook, 2, 4) == kStart + milliseconds(4800));
  CHECK(ChooseLeastLoaded(table, "invoices", {}, "", 1, kStart) == nullptr);
  CHECK(ChooseLeastLoaded(table, "invoices", {}, "", 1,
                          kStart + milliseconds(800)) != nullptr);
}

// Failure: a zone is restored, or its servers come back after a crash, and the
// load of warm servers floods back to cold ones, which crash again.
TEST_CASE("All gateways together keep the warm-up rate of a cold target") {
  // The users' bound: one and a half times the rate in any second, and 5.
  constexpr double kRate = 26;
  constexpr size_t kAllowedInOneSecond = 44;
  for (const size_t count : {1, 6, 40, 74, 340}) {
    CAPTURE(count);
    const SimulatedLoad load{.gateways = count,
                             .limit = kRate,
                             .is_cold = true,
                             .requests = 400,
                             .run_time = seconds(6),
                             .seed = count};
    SUBCASE("while nothing fails") {
      SimulatedGateways gateways(load);
      gateways.Run();
      CHECK(gateways.MostIn(seconds(1), seconds(0)) <= kAllowedInOneSecond);
      CHECK(static_cast<double>(gateways.sent().size()) >= 0.7 * kRate * 6);
    }
    SUBCASE("while the allocator dies and gateways start anew") {
      SimulatedGateways gateways(load);
      gateways.At(seconds(2), [&gateways] { gateways.KillAllocator(); });
      gateways.At(seconds(3), [&gateways, count] {
        for (size_t i = 0; i < count / 2; ++i) {
          gateways.Restart(i);
        }
      });
      gateways.Run();
      CHECK(gateways.MostIn(seconds(1), seconds(0)) <= kAllowedInOneSecond);
    }
  }
}

TEST_CASE("A target is limited while it is cold, and by the lower limit") {
  RateLimit limit;
  CHECK_FALSE(LimitInForce(limit, kStart));
  SetWarmUp(limit, 26, kStart + seconds(3), kStart);
  CHECK(LimitInForce(limit, kStart) == 26);
  CHECK_FALSE(LimitInForce(limit, kStart + seconds(3)));
  RecordRateLimit(limit, Named(2), kStart, kStart);
  CHECK(LimitInForce(limit, kStart) == 2);
  CHECK(LimitInForce(limit, kStart + seconds(3)) == 2);
  SUBCASE("A record that says that it is warm ends it") {
    SetWarmUp(limit, 26, kStart, kStart);
    CHECK(LimitInForce(limit, kStart) == 2);
  }
  SUBCASE("What was granted under a higher limit is not spent") {
    RateLimit named;
    RecordRateLimit(named, Named(500), kStart, kStart);
    const double wanted = StartRateRequest(named, 50, kStart);
    HandleRateGrant(named, named.share.request_number, {.granted = wanted}, {},
                    kStart);
    REQUIRE(AdmitByRate(named, kStart) == RateVerdict::kAdmitted);
    SetWarmUp(named, 26, kStart + seconds(3), kStart);
    CHECK(AdmitByRate(named, kStart) != RateVerdict::kAdmitted);
  }
  SUBCASE("Services without a warm-up rate are not limited") {
    RateLimit other;
    SetWarmUp(other, 0, kStart + seconds(3), kStart);
    CHECK_FALSE(LimitInForce(other, kStart));
  }
}

TEST_CASE(
    "A listed target that is cold is limited by the rate of its service") {
  TargetTable table;
  ApplyTarget(table, {.id = "a", .cold_until = kStart + seconds(2)});
  CHECK_FALSE(ApplyWarmUp(table, "a", 0, kStart));
  CHECK(table.signals.empty());
  CHECK(ApplyWarmUp(table, "a", 26, kStart));
  CHECK_FALSE(ApplyWarmUp(table, "a", 26, kStart));
  CHECK(LimitInForce(table.signals.at("a").rate_limit, kStart) == 26);
  CHECK_FALSE(ApplyWarmUp(table, "unknown", 26, kStart));
}

}  // namespace bramleyspan::gateway
