#include <doctest/doctest.h>

#include "SimulatedGroup.h"
#include "Tests/Property.h"

namespace bramleyspan::expertmap::tests {

namespace {

constexpr Step kSmallWindow = 3;
constexpr int kFaultFreeRounds = 40;
constexpr size_t kMaxEvents = 600;

// Returns a number below `bound`, uniformly at every size of rapidcheck: with
// its own scaling, short runs would contain no agent failures.
size_t PickBelow(size_t bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, bound));
}

// Applies a random event. Deliveries and steps are more frequent than faults,
// and some rounds are free of faults; otherwise hardly any run would reach a
// switch.
void ApplyRandomEvent(SimulatedGroup& group) {
  constexpr size_t kDeliveryKinds = 5;
  constexpr size_t kDeliveriesPerFault = 5;
  constexpr size_t kEventsPerFaultFreeRound = 24;
  if (PickBelow(kEventsPerFaultFreeRound) == 0) {
    group.RunWithoutFaults(1);
    return;
  }
  const bool is_fault = PickBelow(kDeliveriesPerFault) == 0;
  const size_t kind = PickBelow(is_fault ? kEventKinds : kDeliveryKinds);
  group.Apply(static_cast<EventKind>(kind), PickBelow(group.ranks.size()));
}

bool all_ranks_use(const SimulatedGroup& group, MapVersion version) {
  return std::all_of(
      group.ranks.begin(), group.ranks.end(), [&](const SimulatedRank& rank) {
        return !rank.engine.map_by_step.empty() &&
               rank.engine.map_by_step.rbegin()->second == version;
      });
}

}  // namespace

TEST_CASE("property: no step has two maps, and the switch completes") {
  bramleyspan::tests::CheckProperty(
      "with lost, late and repeated messages, frozen and killed agents", [] {
        SimulatedGroup group(2 + PickBelow(2), kSmallWindow);
        group.Apply(EventKind::kPropose, 0);
        const size_t length = PickBelow(kMaxEvents);
        for (size_t i = 0; i < length; ++i) {
          ApplyRandomEvent(group);
          RC_ASSERT(!group.is_split);
        }
        group.Apply(EventKind::kPropose, 0);
        group.RunWithoutFaults(kFaultFreeRounds);
        RC_ASSERT(!group.is_split);
        RC_ASSERT(group.owner.log.decision.has_value());
        RC_ASSERT(group.owner.log.decision->map.placement.front().size() ==
                  group.proposal_count);
        RC_ASSERT(all_ranks_use(group, group.owner.log.decision->map.version));
      });
}

}  // namespace bramleyspan::expertmap::tests
