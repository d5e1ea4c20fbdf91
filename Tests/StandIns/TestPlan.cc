#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "StandIns/Soak/Plan.h"

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLength(40);
constexpr uint64_t kSeeds = 300;

}  // namespace

TEST_CASE("A seed draws the same plan each time, and another one another") {
  CHECK(Describe(DrawPlan(7, kLength)) == Describe(DrawPlan(7, kLength)));
  CHECK(Describe(DrawPlan(7, kLength)) != Describe(DrawPlan(8, kLength)));
}

TEST_CASE("Each plan keeps to the fleet, the times and the order of steps") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    const Plan plan = DrawPlan(seed, kLength);
    CHECK((plan.gateways >= 2 && plan.gateways <= 4));
    CHECK((plan.ranks >= 2 && plan.ranks <= 4));
    CHECK((plan.pass >= milliseconds(80) && plan.pass <= milliseconds(300)));
    CHECK(plan.time_limit > plan.pass * 20);
    CHECK(plan.callers.size() == 8);
    CHECK(std::ranges::is_sorted(plan.steps, {}, &Step::at));
    for (const Step& step : plan.steps) {
      const bool is_of_rank = step.act == Act::kStopRank;
      CHECK(step.number <= (is_of_rank ? plan.ranks : plan.gateways));
    }
  }
}

TEST_CASE("A group that stands is not paused again before it has served") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    milliseconds last(-kLength);
    for (const Step& step : DrawPlan(seed, kLength).steps) {
      if (step.act == Act::kPause) {
        CHECK(step.wait <= milliseconds(1200));
        CHECK(step.at - last >= milliseconds(3500));
        last = step.at;
      }
    }
  }
}

TEST_CASE("Plans draw every act, and stops of gateways that overlap") {
  std::map<Act, int> counts;
  std::set<std::string> words;
  int overlaps = 0;
  int soon_again = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    milliseconds last_stop(-kLength);
    for (const Step& step : DrawPlan(seed, kLength).steps) {
      ++counts[step.act];
      words.insert(step.word);
      soon_again += step.is_stopped_at_start ? 1 : 0;
      if (step.act == Act::kStopGateway) {
        overlaps += step.at - last_stop < seconds(4) ? 1 : 0;
        last_stop = step.at;
      }
    }
  }
  CHECK(counts.size() == 8);
  CHECK(words ==
        std::set<std::string>{"", "broken", "down", "losing", "silent"});
  CHECK(overlaps > 100);
  CHECK(soon_again > 100);
}

}  // namespace bramleyspan::standins
