#include <doctest/doctest.h>

#include "SimulatedGroup.h"
#include "Tests/Property.h"

namespace bramleyspan::expertmap::tests {

namespace {

constexpr Step kSmallWindow = 3;
constexpr int kSettleRounds = 40;
constexpr size_t kMostHappenings = 600;

// A number below `bound`, evenly whatever size rapidcheck is at: by its own
// scaling, short runs would know no kills at all.
size_t PickBelow(size_t bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, bound));
}

// Deliveries and steps come more often than faults, and now and then all goes
// well for a round: else hardly a run would get as far as a switch.
void DoSomething(SimulatedGroup& group) {
  constexpr size_t kDeliveries = 5;
  constexpr size_t kDeliveriesAFault = 5;
  constexpr size_t kHappeningsACalmRound = 24;
  if (PickBelow(kHappeningsACalmRound) == 0) {
    group.Settle(1);
    return;
  }
  const bool is_fault = PickBelow(kDeliveriesAFault) == 0;
  const size_t kind = PickBelow(is_fault ? kHappenings : kDeliveries);
  group.Do(static_cast<Happening>(kind), PickBelow(group.ranks.size()));
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
        SimulatedGroup group(2 + PickBelow(2), kSmallWindow);
        group.Do(Happening::kPropose, 0);
        const size_t length = PickBelow(kMostHappenings);
        for (size_t i = 0; i < length; ++i) {
          DoSomething(group);
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
