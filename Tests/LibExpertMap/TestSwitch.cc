#include <doctest/doctest.h>

#include "SimulatedGroup.h"
#include "Tests/Property.h"

namespace bramleyspan::expertmap::tests {

namespace {

constexpr Step kSmallWindow = 3;
constexpr int kSettleRounds = 40;

// Deliveries and steps come more often than faults, so that switches get far.
Happening GenerateHappening() {
  constexpr int kDeliveries = 5;
  const int kind = *rc::gen::inRange(0, 3 * kDeliveries + kHappenings);
  return static_cast<Happening>(
      kind < 3 * kDeliveries ? kind % kDeliveries : kind - 3 * kDeliveries);
}

bool all_run(const SimulatedGroup& group, MapVersion version) {
  return std::all_of(group.ranks.begin(), group.ranks.end(),
                     [&](const SimulatedRank& rank) {
                       return !rank.engine.record.empty() &&
                              rank.engine.record.rbegin()->second == version;
                     });
}

}  // namespace

TEST_CASE("property: no step has two maps, and the switch completes") {
  bramleyspan::tests::CheckProperty(
      "whatever is lost, late, repeated, frozen or killed", [] {
        SimulatedGroup group(static_cast<size_t>(*rc::gen::inRange(2, 5)),
                             kSmallWindow);
        group.Do(Happening::kPropose, 0);
        const int length = *rc::gen::inRange(0, 600);
        for (int i = 0; i < length; ++i) {
          const auto rank = *rc::gen::inRange<size_t>(0, group.ranks.size());
          group.Do(GenerateHappening(), rank);
          RC_ASSERT(!group.is_split);
        }
        group.Do(Happening::kPropose, 0);
        group.Settle(kSettleRounds);
        RC_ASSERT(!group.is_split);
        RC_ASSERT(group.owner.log.decision.has_value());
        RC_ASSERT(group.owner.log.decision->map.placement.front().size() ==
                  group.proposals);
        RC_ASSERT(all_run(group, group.owner.log.decision->map.version));
      });
}

}  // namespace bramleyspan::expertmap::tests
