#include "LibPlacement/SwitchPlan.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::placement {

namespace {

// Copies per set that a switch allows at least if a rank is slow.
constexpr uint32_t kMinCopiesPerSetIfSlow = 4;
// A rank whose pace exceeds this is relieved of experts at once.
constexpr double kMaxUsualPace = 1.3;
// The skew of a set that one copy at each rank must remove in total.
constexpr double kMinGainOfCopies = 0.32;
// The mean skew that a switch must remove where passes are long; shorter passes
// require more.
constexpr double kMinGainOfLongPasses = 0.12;
// A pass is long from this fraction of the longest pause on.
constexpr double kLongPassFraction = 0.45;
// The additional skew that a switch must remove per unit by which a pass, as a
// fraction of the longest pause, is below kLongPassFraction.
constexpr double kGainPerIdleFraction = 6;

// Returns the indices of the sets in descending order of skew.
std::vector<size_t> OrderBySkew(const SetLists& lists,
                                const DemandTracker& demand,
                                const std::vector<double>& paces) {
  std::vector<std::pair<double, size_t>> sets;
  for (size_t set = 0; set < lists.size(); ++set) {
    sets.emplace_back(-SkewOf(lists[set], demand.present[set], paces), set);
  }
  std::sort(sets.begin(), sets.end());
  std::vector<size_t> order;
  order.reserve(sets.size());
  for (const auto& [skew, set] : sets) {
    order.push_back(set);
  }
  return order;
}

uint32_t CopiesForPosition(size_t position, size_t copies, size_t sets) {
  const size_t per_set = copies / sets;
  const size_t remainder = copies % sets;
  return static_cast<uint32_t>(
      std::max<size_t>(1, per_set + (position < remainder ? 1 : 0)));
}

}  // namespace

uint32_t CopiesPerRank(Duration copy) {
  // The time that the copies of one switch may take on a rank's link.
  constexpr Duration kMaxCopyTime = std::chrono::milliseconds(60);
  if (copy <= Duration(0)) {
    return 1;
  }
  return static_cast<uint32_t>(std::max<int64_t>(1, kMaxCopyTime / copy));
}

SwitchPlan PlanSwitch(const SetLists& lists,
                      const DemandTracker& demand,
                      const SwitchLimits& limits) {
  const bool is_any_slow =
      std::any_of(limits.paces.begin(), limits.paces.end(),
                  [](double pace) { return pace > kMaxUsualPace; });
  SwitchPlan plan{.lists = lists, .skew_before = 0, .skew_after = 0};
  std::vector<uint32_t> new_on_rank;
  const std::vector<size_t> order = OrderBySkew(lists, demand, limits.paces);
  const size_t copies = size_t{limits.ranks} * limits.copies_per_rank;
  for (size_t position = 0; position < order.size(); ++position) {
    const size_t set = order[position];
    const uint32_t copies_for_set =
        CopiesForPosition(position, copies, order.size());
    CopyPlan copy_plan = PlanCopies(
        lists[set], demand.present[set], RememberedShares(demand, set),
        {.expert_slots_per_rank = limits.expert_slots_per_rank,
         .spare = limits.spare,
         .max_copies = is_any_slow
                           ? std::max(kMinCopiesPerSetIfSlow, copies_for_set)
                           : copies_for_set,
         .max_new_on_rank = is_any_slow ? 0U : limits.copies_per_rank,
         .min_gain = kMinGainOfCopies / limits.ranks,
         .paces = limits.paces},
        new_on_rank);
    const auto sets = static_cast<double>(order.size());
    plan.skew_before += copy_plan.skew_before / sets;
    plan.skew_after += copy_plan.skew_after / sets;
    plan.copies += copy_plan.copies;
    plan.lists[set] = std::move(copy_plan.lists);
  }
  return plan;
}

double MeanSkew(const SetLists& lists,
                const DemandTracker& demand,
                const std::vector<double>& paces) {
  double sum = 0;
  for (size_t set = 0; set < lists.size(); ++set) {
    sum += SkewOf(lists[set], demand.present[set], paces);
  }
  return sum / static_cast<double>(lists.size());
}

double MinGainOfSwitch(Duration pass, Duration longest_pause) {
  const double pass_fraction = static_cast<double>(pass.count()) /
                               static_cast<double>(longest_pause.count());
  return kMinGainOfLongPasses +
         kGainPerIdleFraction *
             std::max(0.0, kLongPassFraction - pass_fraction);
}

}  // namespace bramleyspan::placement
