#include <doctest/doctest.h>

#include "LibRouting/Routing.h"

namespace bramleyspan::routing {

TEST_CASE(
    "the admitting candidate with the least time to the first token wins") {
  using std::chrono::milliseconds;
  const std::vector<ProbeAnswer> answers{
      {{"a", "t1"}, true, 3, milliseconds(30)},
      {{"b", "t3"}, true, 1, milliseconds(10)},
      {{"c", "t5"}, false, 0, milliseconds(0)}};
  const Router router;
  const TimePoint now;
  CHECK(
      ChooseCandidate(router, {}, answers, milliseconds(100), now)->candidate ==
      Candidate{"b", "t3"});
  CHECK_FALSE(
      ChooseCandidate(router, {}, answers, milliseconds(5), now).has_value());
}

TEST_CASE("picked candidates are distinct and at most as many as requested") {
  const std::vector<Candidate> all{{"a", "t1"}, {"b", "t2"}, {"c", "t3"}};
  const auto picked = PickCandidates(all, 2, 7);
  REQUIRE(picked.size() == 2);
  CHECK(picked[0].group != picked[1].group);
  CHECK(PickCandidates(all, 5, 7).size() == 3);
}

}  // namespace bramleyspan::routing
