#include "LibPlacement/Copies.h"

#include <algorithm>

#include "LibPlacement/CopySearch.h"

namespace bramleyspan::placement {

namespace {

double SkewOfLoads(const std::vector<double>& loads,
                   const std::vector<double>& paces) {
  double total = 0;
  double max_time = 0;
  for (size_t rank = 0; rank < loads.size(); ++rank) {
    total += loads[rank];
    max_time = std::max(max_time, loads[rank] * detail::PaceOf(paces, rank));
  }
  return total == 0 ? 1 : max_time * static_cast<double>(loads.size()) / total;
}

}  // namespace

double SkewOf(const RankLists& lists,
              const Shares& shares,
              const std::vector<double>& paces) {
  return SkewOfLoads(
      detail::LoadsOf(lists, shares,
                      detail::CountHolders(lists, shares.size())),
      paces);
}

CopyPlan PlanCopies(const RankLists& lists,
                    const Shares& shares,
                    const Shares& remembered,
                    const CopyLimits& limits,
                    std::vector<uint32_t>& new_on_rank) {
  new_on_rank.resize(lists.size(), 0);
  detail::CopySearch search(lists, shares, remembered, limits, new_on_rank);
  CopyPlan plan{.lists = lists, .skew_before = search.skew()};
  plan.skew_after = plan.skew_before;
  // Some copies lower the skew only together with later ones, so steps without
  // enough gain are kept until a later step shows whether they pay.
  std::vector<detail::CopyStep> steps;
  while (steps.size() < limits.max_copies) {
    const auto step = search.FindBestStep();
    if (!step) {
      break;
    }
    search.Apply(*step);
    steps.push_back(*step);
    const double skew = search.skew();
    const auto new_steps = static_cast<double>(steps.size() - plan.copies);
    if (plan.skew_after - skew >= new_steps * limits.min_gain) {
      plan.skew_after = skew;
      plan.copies = static_cast<uint32_t>(steps.size());
    }
  }
  steps.resize(plan.copies);
  for (const detail::CopyStep& step : steps) {
    detail::ApplyStep(plan.lists, step);
    ++new_on_rank[step.rank];
  }
  return plan;
}

}  // namespace bramleyspan::placement
