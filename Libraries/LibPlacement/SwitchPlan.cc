#include "LibPlacement/SwitchPlan.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::placement {

namespace {

// Copies in a set that one switch brings at least if a rank is slow.
constexpr uint32_t kCopiesPerSwitchOfSlow = 4;
// From this pace on a rank counts as slow.
constexpr double kSlow = 1.3;
// A copy at each rank must lower its set's skew by this much.
constexpr double kLeastGainOfCopies = 0.32;
// A switch must lower the mean skew by this much where passes are long, and by
// more the shorter they are.
constexpr double kLeastGainOfSwitch = 0.12;
// A pass of this part of the longest pause is long.
constexpr double kBusyPart = 0.45;
constexpr double kGainPerIdlePart = 6;

// The sets, the most uneven first.
std::vector<size_t> BySkew(const SetLists& lists,
                           const Drift& demand,
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

uint32_t CopiesInTurn(size_t turn, size_t copies, size_t sets) {
  const size_t each = copies / sets;
  const size_t left_over = copies % sets;
  return static_cast<uint32_t>(
      std::max<size_t>(1, each + (turn < left_over ? 1 : 0)));
}

}  // namespace

uint32_t CopiesPerRank(Duration copy) {
  constexpr Duration kLongestCopying = std::chrono::milliseconds(60);
  if (copy <= Duration(0)) {
    return 1;
  }
  return static_cast<uint32_t>(std::max<int64_t>(1, kLongestCopying / copy));
}

SwitchPlan PlanSwitch(const SetLists& lists,
                      const Drift& demand,
                      const SwitchLimits& limits) {
  const bool is_any_slow =
      std::any_of(limits.paces.begin(), limits.paces.end(),
                  [](double pace) { return pace > kSlow; });
  SwitchPlan plan{.lists = lists, .skew_before = 0, .skew_after = 0};
  std::vector<uint32_t> new_on_rank;
  const std::vector<size_t> order = BySkew(lists, demand, limits.paces);
  const size_t copies = size_t{limits.ranks} * limits.copies_per_rank;
  for (size_t turn = 0; turn < order.size(); ++turn) {
    const size_t set = order[turn];
    const uint32_t usual = CopiesInTurn(turn, copies, order.size());
    CopyPlan copied = PlanCopies(
        lists[set], demand.present[set], RememberedShares(demand, set),
        {.places_per_rank = limits.places_per_rank,
         .spare = limits.spare,
         .most_copies =
             is_any_slow ? std::max(kCopiesPerSwitchOfSlow, usual) : usual,
         .most_new_on_rank = is_any_slow ? 0U : limits.copies_per_rank,
         .least_gain = kLeastGainOfCopies / limits.ranks,
         .paces = limits.paces},
        new_on_rank);
    const auto sets = static_cast<double>(order.size());
    plan.skew_before += copied.skew_before / sets;
    plan.skew_after += copied.skew_after / sets;
    plan.copies += copied.copies;
    plan.lists[set] = std::move(copied.lists);
  }
  return plan;
}

double MeanSkew(const SetLists& lists,
                const Drift& demand,
                const std::vector<double>& paces) {
  double sum = 0;
  for (size_t set = 0; set < lists.size(); ++set) {
    sum += SkewOf(lists[set], demand.present[set], paces);
  }
  return sum / static_cast<double>(lists.size());
}

double LeastGainOfSwitch(Duration pass, Duration longest_pause) {
  const double part = static_cast<double>(pass.count()) /
                      static_cast<double>(longest_pause.count());
  return kLeastGainOfSwitch +
         kGainPerIdlePart * std::max(0.0, kBusyPart - part);
}

}  // namespace bramleyspan::placement
