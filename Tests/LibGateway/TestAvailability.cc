#include <doctest/doctest.h>

#include "LibGateway/Availability.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr std::string_view kService = "drafts";

// Six ranks of a group of 32, last reported at `now`.
TargetTable SixRanks(bool is_open, TimePoint now) {
  TargetTable table;
  for (uint32_t rank = 0; rank < 6; ++rank) {
    TargetView& view = table.by_id["t" + std::to_string(rank)];
    view.target = {.id = "t" + std::to_string(rank),
                   .service = std::string(kService)};
    view.rank = RankView{.group = "g0",
                         .rank = rank,
                         .size = 32,
                         .is_open = is_open,
                         .received_at = now};
  }
  return table;
}

}  // namespace

// Failure: a group of 32 has 6 ranks and never opens; each caller waits for a
// permit, retries, waits again and is refused.
TEST_CASE("A service whose groups stay closed is unavailable") {
  Availability availability;
  TimePoint now = kStart;
  for (; now <= kStart + seconds(6); now += milliseconds(250)) {
    UpdateAvailability(availability, SixRanks(false, now), kService, now);
    CHECK_FALSE(is_unavailable(availability, now));
  }
  UpdateAvailability(availability, SixRanks(false, now), kService, now);
  CHECK(is_unavailable(availability, now));
  CHECK(Describe(availability) == "g0 6/32");

  SUBCASE("until a group opens") {
    UpdateAvailability(availability, SixRanks(true, now), kService, now);
    CHECK_FALSE(is_unavailable(availability, now));
  }
  SUBCASE("until nothing is known of its ranks") {
    const TargetTable stale = SixRanks(false, now - seconds(4));
    UpdateAvailability(availability, stale, kService, now);
    CHECK_FALSE(is_unavailable(availability, now));
  }
}

// Failure: callers that could have been served after a power outage are
// rejected while groups are formed.
TEST_CASE("A service whose group is being formed is available") {
  Availability availability;
  TimePoint now = kStart;
  UpdateAvailability(availability, SixRanks(true, now), kService, now);
  now += seconds(4);
  UpdateAvailability(availability, SixRanks(false, now), kService, now);
  CHECK_FALSE(is_unavailable(availability, now));
  now += seconds(5);
  UpdateAvailability(availability, SixRanks(true, now), kService, now);
  now += seconds(5);
  UpdateAvailability(availability, SixRanks(false, now), kService, now);
  CHECK_FALSE(is_unavailable(availability, now));
}

TEST_CASE("A service without known ranks is not unavailable") {
  Availability availability;
  UpdateAvailability(availability, {}, kService, kStart);
  UpdateAvailability(availability, {}, kService, kStart + seconds(30));
  CHECK_FALSE(is_unavailable(availability, kStart + seconds(30)));
}

}  // namespace bramleyspan::gateway
