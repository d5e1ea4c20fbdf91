#include <algorithm>
#include <set>
#include <vector>

#include "LibMapSwitch/MapChanges.h"
#include "LibMapSwitch/Tree.h"
#include "Tests/Property.h"

namespace bramleyspan::mapswitch {

TEST_CASE("Trees of ranks: property over sizes and fan-outs") {
  tests::CheckProperty("each rank has one superior nearer to the owner", [] {
    const Tree tree{.size = *rc::gen::inRange(1U, 600U),
                    .fan_out = *rc::gen::inRange(2U, 40U)};
    const uint32_t leaders = CountLeaders(tree);
    std::vector<uint32_t> led(leaders + 1, 0);
    for (uint32_t rank = 1; rank < tree.size; ++rank) {
      const uint32_t superior = SuperiorOf(tree, rank);
      RC_ASSERT(superior < rank);
      RC_ASSERT(superior == 0 || is_leader(tree, superior));
      if (is_leader(tree, rank)) {
        RC_ASSERT(superior == 0U);
        ++led[rank];
      } else if (leaders > 0) {
        RC_ASSERT(superior != 0U);
        ++led[superior];
      }
    }
    for (uint32_t leader = 1; leader <= leaders; ++leader) {
      RC_ASSERT(led[leader] == CountLed(tree, leader));
      RC_ASSERT(led[leader] <= std::max(2U, tree.fan_out));
    }
  });
  tests::CheckProperty("of a pass the ranks of one leader tell", [] {
    const Tree tree{.size = *rc::gen::inRange(14U, 200U), .fan_out = 12};
    const uint64_t step = *rc::gen::inRange(0U, 100'000U);
    std::set<uint32_t> leaders;
    uint32_t tellers = 0;
    for (uint32_t rank = 0; rank < tree.size; ++rank) {
      if (is_reporter(tree, rank, step)) {
        ++tellers;
        leaders.insert(is_leader(tree, rank) ? rank : SuperiorOf(tree, rank));
      }
    }
    RC_ASSERT(leaders.size() == 1U);
    RC_ASSERT(tellers == CountLed(tree, *leaders.begin()));
  });
}

TEST_CASE("Groups up to the fan-out tell their owner themselves") {
  CHECK(CountLeaders({.size = 0}) == 0);
  CHECK(CountLeaders({.size = 13, .fan_out = 12}) == 0);
  CHECK(SuperiorOf({.size = 13, .fan_out = 12}, 12) == 0);
  CHECK(CountLeaders({.size = 14, .fan_out = 12}) == 2);
  CHECK(CountLeaders({.size = 96, .fan_out = 12}) == 8);
}

TEST_CASE("Map changes: property, applied they give the map") {
  tests::CheckProperty("base and changes make the map", [] {
    const auto sets = *rc::gen::inRange<size_t>(1, 5);
    const auto ranks = *rc::gen::inRange<size_t>(1, 30);
    ExpertLists base(sets,
                     std::vector<std::vector<uint16_t>>(ranks, {1, 2, 3}));
    ExpertLists map = base;
    const auto count = *rc::gen::inRange<size_t>(0, 10);
    for (size_t i = 0; i < count; ++i) {
      map[*rc::gen::inRange<size_t>(0, sets)][*rc::gen::inRange<size_t>(
          0, ranks)] = {1, static_cast<uint16_t>(100 + i)};
    }
    const auto changes = Compare(base, map);
    RC_ASSERT(changes.has_value());
    RC_ASSERT(changes->places.size() <= count);
    RC_ASSERT(Apply(base, *changes) == map);
  });
}

TEST_CASE("Changes that do not fit the base change nothing") {
  const ExpertLists base{{{0}, {1}}, {{1}, {0}}};
  CHECK_FALSE(Apply(base, {.places = {4}, .lists = {{0}}}));
  CHECK_FALSE(Apply(base, {.places = {1}, .lists = {}}));
  CHECK_FALSE(Apply({}, {.places = {0}, .lists = {{0}}}));
  CHECK_FALSE(Compare(base, {{{0}, {1}}}));
  CHECK_FALSE(Compare({}, base));
}

}  // namespace bramleyspan::mapswitch
