#include <doctest/doctest.h>

#include "LibMapSwitch/SentUpdate.h"

namespace bramleyspan::mapswitch {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

RankStatus Held() {
  return {.group = "g",
          .epoch = 1,
          .rank = 3,
          .size = 8,
          .is_open = true,
          .running = 5,
          .step = 620,
          .armed = 58,
          .armed_step = 629,
          .held = 629};
}

}  // namespace

// Failure: a group stood still after all agents had been killed between the
// last arm and the go. Their successors sent the owner one update, before it
// listened, and the status of a held group does not change.
TEST_CASE("An unchanged status is sent again") {
  const SentUpdate last_update{.sent_status = Held(), .sent_at = kStart};
  CHECK_FALSE(is_update_due(last_update, Held(), false,
                            kStart + std::chrono::milliseconds(30)));
  CHECK(is_update_due(last_update, Held(), false,
                      kStart + std::chrono::milliseconds(90)));
}

TEST_CASE(
    "A change that matters to a switch is sent at once, a new pass is not") {
  const SentUpdate last_update{.sent_status = Held(), .sent_at = kStart};
  RankStatus status = Held();
  status.step = 621;
  status.running = 6;
  CHECK_FALSE(is_update_due(last_update, status, false, kStart));
  CHECK(is_update_due(last_update, status, true, kStart));
  status.armed_step = 630;
  CHECK(is_update_due(last_update, status, false, kStart));
}

}  // namespace bramleyspan::mapswitch
