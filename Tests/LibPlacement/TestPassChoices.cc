#include <doctest/doctest.h>

#include <cmath>

#include "LibPlacement/DemandTracker.h"
#include "LibPlacement/PassChoices.h"

namespace bramleyspan::placement {

namespace {

constexpr ChoicesShape kShape{.ranks = 2, .sets = 1, .experts = 4};
constexpr TimePoint kStart{std::chrono::seconds(100)};

std::optional<Choices> Report(PassChoices& pass,
                              uint32_t rank,
                              uint64_t step,
                              const std::vector<uint32_t>& counts,
                              TimePoint now = kStart,
                              uint64_t epoch = 1) {
  return AddChoices(
      pass, {.rank = rank, .epoch = epoch, .step = step, .counts = counts},
      kShape, now);
}

}  // namespace

TEST_CASE("A pass is emitted once all reporters have reported it") {
  PassChoices pass;
  CHECK_FALSE(Report(pass, 0, 7, {1, 2, 3, 4}));
  const auto sums = Report(pass, 1, 7, {10, 20, 30, 40});
  REQUIRE(sums);
  CHECK(sums->front() == std::vector<double>{11, 22, 33, 44});
  CHECK_FALSE(Report(pass, 1, 7, {10, 20, 30, 40}));
}

// Guards against samples cut by time, which mix the passes before and after a
// demand shift. Maps are then planned for the mixture and replaced at once, and
// the right copies arrive 0.5 s late.
TEST_CASE("The first pass after a demand shift contains no earlier demand") {
  PassChoices pass;
  DemandTracker tracker;
  for (uint64_t step = 1; step <= 3; ++step) {
    for (uint32_t rank = 0; rank < 2; ++rank) {
      const auto sums = Report(pass, rank, step, {400, 0, 0, 0});
      if (sums) {
        ObserveChoices(tracker, *sums);
      }
    }
  }
  // Rank 1 reports the pass after the shift before rank 0 does.
  CHECK_FALSE(Report(pass, 1, 4, {0, 0, 0, 400}));
  const auto sums = Report(pass, 0, 4, {0, 0, 0, 400});
  REQUIRE(sums);
  CHECK(ObserveChoices(tracker, *sums));
  CHECK(tracker.shifts == 1);
  CHECK(tracker.present[0] == Shares{0, 0, 0, 1});
}

TEST_CASE("An incomplete pass is emitted when a newer one begins") {
  PassChoices pass;
  Report(pass, 0, 7, {1, 1, 1, 1});
  const auto superseded = Report(pass, 1, 8, {5, 0, 0, 0});
  REQUIRE(superseded);
  CHECK(superseded->front() == std::vector<double>{1, 1, 1, 1});
  SUBCASE("Later reports for it are dropped") {
    CHECK_FALSE(Report(pass, 1, 7, {9, 9, 9, 9}));
    CHECK(Report(pass, 0, 8, {0, 5, 0, 0})->front() ==
          std::vector<double>{5, 5, 0, 0});
  }
}

// Without the timeout no pass is complete after the agent of one rank is
// killed, and the group's map never changes again.
TEST_CASE("A pass is emitted after a timeout if a rank does not report") {
  PassChoices pass;
  Report(pass, 0, 7, {1, 1, 1, 1});
  CHECK_FALSE(EmitIfOverdue(pass, kStart + std::chrono::milliseconds(20)));
  CHECK(EmitIfOverdue(pass, kStart + std::chrono::milliseconds(60)));
  CHECK_FALSE(EmitIfOverdue(pass, kStart + std::chrono::milliseconds(90)));
}

TEST_CASE(
    "A new epoch starts a new pass, and reports of an old one are dropped") {
  PassChoices pass;
  Report(pass, 0, 90, {1, 1, 1, 1});
  CHECK(Report(pass, 0, 2, {2, 2, 2, 2}, kStart, 2));
  CHECK_FALSE(Report(pass, 1, 91, {1, 1, 1, 1}));
  CHECK(Report(pass, 1, 2, {2, 2, 2, 2}, kStart, 2)->front()[0] == 4);
}

TEST_CASE("Counts of the wrong size are dropped") {
  PassChoices pass;
  CHECK_FALSE(Report(pass, 0, 7, {1, 2, 3}));
  CHECK_FALSE(Report(pass, 0, 7, {}));
  CHECK(pass.is_emitted);
}

TEST_CASE("Packed counts keep the distribution within 1/255 of the maximum") {
  const std::vector<uint32_t> counts{0, 1, 80'000, 4'000, 300};
  const PackedCounts packed = PackCounts(counts);
  CHECK(packed.counts.size() == counts.size());
  const std::vector<uint32_t> unpacked = UnpackCounts(packed);
  for (size_t i = 0; i < counts.size(); ++i) {
    CHECK(std::abs(static_cast<double>(unpacked[i]) - counts[i]) <=
          80'000 / 255);
  }
  const std::vector<uint32_t> few{0, 3, 255, 17};
  CHECK(UnpackCounts(PackCounts(few)) == few);
  CHECK(PackCounts({}).counts.empty());
}

// If all 32 ranks report every pass, their counts are four times what the
// owner's link carries, and no map is ever switched.
TEST_CASE("In a large group a subset of the ranks reports each pass") {
  for (uint64_t step = 1; step <= 4; ++step) {
    int reporters = 0;
    for (uint32_t rank = 0; rank < 32; ++rank) {
      reporters += is_reporter(rank, 32, step) ? 1 : 0;
    }
    CHECK(reporters == 8);
  }
  for (uint32_t rank = 0; rank < 8; ++rank) {
    CHECK(is_reporter(rank, 8, 5));
  }
  PassChoices pass;
  constexpr ChoicesShape kLarge{.ranks = 32, .sets = 1, .experts = 4};
  std::optional<Choices> sums;
  const std::vector<uint32_t> counts{1, 0, 0, 0};
  for (uint32_t rank = 0; rank < 32; ++rank) {
    if (is_reporter(rank, 32, 6)) {
      CHECK_FALSE(sums);
      sums = AddChoices(pass,
                        {.rank = rank, .epoch = 1, .step = 6, .counts = counts},
                        kLarge, kStart);
    }
  }
  REQUIRE(sums);
  CHECK(sums->front()[0] == 8);
}

}  // namespace bramleyspan::placement
