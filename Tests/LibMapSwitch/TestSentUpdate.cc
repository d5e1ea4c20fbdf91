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

// Story: every stream of a group stood still until the day ended. All agents
// had been killed between the last arm and the go; their successors told the
// owner once, before it listened, and a group that is held has no news.
TEST_CASE("A status that does not change is said again") {
  const Telling telling{.told = Held(), .told_at = kStart};
  CHECK_FALSE(
      is_due(telling, Held(), false, kStart + std::chrono::milliseconds(30)));
  CHECK(is_due(telling, Held(), false, kStart + std::chrono::milliseconds(90)));
}

TEST_CASE("What matters to a switch is said at once, a mere pass is not") {
  const Telling telling{.told = Held(), .told_at = kStart};
  RankStatus status = Held();
  status.step = 621;
  status.running = 6;
  CHECK_FALSE(is_due(telling, status, false, kStart));
  CHECK(is_due(telling, status, true, kStart));
  status.armed_step = 630;
  CHECK(is_due(telling, status, false, kStart));
}

}  // namespace bramleyspan::mapswitch
