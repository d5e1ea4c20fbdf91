#include "LibPlacement/Copies.h"

#include <algorithm>
#include <optional>

namespace bramleyspan::placement {

namespace {

// What a remembered demand counts against a present one.
constexpr double kRememberedWeight = 0.3;
// A copy that waits behind another on its rank's link comes later; it counts
// as this much more load.
constexpr double kLinkWeight = 0.02;

std::vector<uint32_t> CountHolders(const RankLists& lists, size_t experts) {
  std::vector<uint32_t> holders(experts, 0);
  for (const auto& list : lists) {
    for (const uint16_t expert : list) {
      if (expert < experts) {
        ++holders[expert];
      }
    }
  }
  return holders;
}

std::vector<double> LoadsOf(const RankLists& lists,
                            const Shares& shares,
                            const std::vector<uint32_t>& holders) {
  std::vector<double> loads(lists.size(), 0);
  for (size_t rank = 0; rank < lists.size(); ++rank) {
    for (const uint16_t expert : lists[rank]) {
      if (expert < shares.size()) {
        loads[rank] += shares[expert] / std::max(1U, holders[expert]);
      }
    }
  }
  return loads;
}

double PaceOf(const std::vector<double>& paces, size_t rank) {
  return rank < paces.size() ? std::max(1.0, paces[rank]) : 1;
}

double SkewOfLoads(const std::vector<double>& loads,
                   const std::vector<double>& paces) {
  double total = 0;
  double most = 0;
  for (size_t rank = 0; rank < loads.size(); ++rank) {
    total += loads[rank];
    most = std::max(most, loads[rank] * PaceOf(paces, rank));
  }
  return total == 0 ? 1 : most * static_cast<double>(loads.size()) / total;
}

bool is_held(const std::vector<uint16_t>& list, uint16_t expert) {
  return std::find(list.begin(), list.end(), expert) != list.end();
}

// One change: a copy that comes to a rank, and one that leaves it.
struct Step {
  uint16_t expert = 0;
  size_t rank = 0;
  std::optional<uint16_t> dropped;
  // The rank that gives the expert up altogether; another one keeps it.
  std::optional<size_t> moved_from;
  double skew = 0;
  double cost = 0;
};

struct Search {
  const Shares& shares;
  const Shares& remembered;
  const CopyLimits& limits;
  const std::vector<uint32_t>& new_elsewhere;
  RankLists lists;
  std::vector<std::vector<uint16_t>> added;
  // The ranks that hold each expert, and the loads; they follow `lists`.
  std::vector<std::vector<size_t>> ranks_of = {};
  std::vector<double> loads = {};
  std::vector<double> loads_after = {};

  void Index() {
    this->ranks_of.assign(this->shares.size(), {});
    for (size_t rank = 0; rank < this->lists.size(); ++rank) {
      for (const uint16_t expert : this->lists[rank]) {
        if (expert < this->ranks_of.size()) {
          this->ranks_of[expert].push_back(rank);
        }
      }
    }
    this->loads = LoadsOf(this->lists, this->shares,
                          CountHolders(this->lists, this->shares.size()));
  }

  // Takes the expert's part from its holders, and gives the new part to those
  // that hold it after the step.
  void Share(uint16_t expert,
             uint32_t before,
             uint32_t after,
             std::optional<size_t> comes,
             std::optional<size_t> leaves) {
    const double part_before = this->shares[expert] / std::max(1U, before);
    const double part_after = this->shares[expert] / std::max(1U, after);
    for (const size_t rank : this->ranks_of[expert]) {
      this->loads_after[rank] -= part_before;
      this->loads_after[rank] += rank == leaves ? 0 : part_after;
    }
    if (comes) {
      this->loads_after[*comes] += part_after;
    }
  }

  // The skew after a step; only the ranks that hold its experts change.
  double SkewAfter(const Step& step, const std::vector<uint32_t>& holders) {
    this->loads_after = this->loads;
    const uint32_t before = holders[step.expert];
    this->Share(step.expert, before, step.moved_from ? before : before + 1,
                step.rank, step.moved_from);
    if (step.dropped) {
      const uint32_t count = holders[*step.dropped];
      this->Share(*step.dropped, count, count - 1, std::nullopt, step.rank);
    }
    return SkewOfLoads(this->loads_after, this->limits.paces);
  }

  double ValueOf(uint16_t expert) const {
    const double present = this->shares[expert];
    const double past =
        expert < this->remembered.size() ? this->remembered[expert] : 0;
    return std::max(present, kRememberedWeight * past);
  }

  // The copy that a full rank gives up; none if it cannot.
  std::optional<uint16_t> FindDrop(size_t rank,
                                   const std::vector<uint32_t>& holders) const {
    std::optional<uint16_t> found;
    for (const uint16_t expert : this->lists[rank]) {
      if (holders[expert] < 2 || is_held(this->added[rank], expert)) {
        continue;
      }
      if (!found || this->ValueOf(expert) / holders[expert] <
                        this->ValueOf(*found) / holders[*found]) {
        found = expert;
      }
    }
    return found;
  }

  std::optional<Step> TryCopy(uint16_t expert,
                              size_t rank,
                              std::optional<size_t> moved_from,
                              const std::vector<uint32_t>& holders) {
    const size_t queued = this->new_elsewhere[rank] + this->added[rank].size();
    const bool is_link_taken = this->limits.most_new_on_rank != 0 &&
                               queued >= this->limits.most_new_on_rank;
    if (is_held(this->lists[rank], expert) || is_link_taken ||
        this->added[rank].size() >= this->limits.spare) {
      return std::nullopt;
    }
    Step step{.expert = expert, .rank = rank, .moved_from = moved_from};
    if (this->lists[rank].size() >= this->limits.places_per_rank) {
      step.dropped = this->FindDrop(rank, holders);
      if (!step.dropped) {
        return std::nullopt;
      }
    }
    step.skew = this->SkewAfter(step, holders);
    step.cost = step.skew + kLinkWeight * static_cast<double>(queued);
    return step;
  }

  void Make(const Step& step, std::vector<uint32_t>& holders) {
    auto& list = this->lists[step.rank];
    if (step.dropped) {
      std::erase(list, *step.dropped);
      --holders[*step.dropped];
    }
    list.push_back(step.expert);
    ++holders[step.expert];
    if (step.moved_from) {
      std::erase(this->lists[*step.moved_from], step.expert);
      --holders[step.expert];
    }
  }
};

std::optional<Step> FindBestStep(Search& search,
                                 const std::vector<uint32_t>& holders) {
  search.Index();
  const std::vector<double>& loads = search.loads;
  size_t most = 0;
  for (size_t rank = 1; rank < loads.size(); ++rank) {
    const auto& paces = search.limits.paces;
    if (loads[rank] * PaceOf(paces, rank) > loads[most] * PaceOf(paces, most)) {
      most = rank;
    }
  }
  std::optional<Step> best;
  // Only a copy of what the most loaded rank holds lowers its load.
  const std::vector<uint16_t> candidates = search.lists[most];
  for (const uint16_t expert : candidates) {
    for (size_t rank = 0; rank < search.lists.size(); ++rank) {
      if (rank == most) {
        continue;
      }
      const bool is_new = is_held(search.added[most], expert);
      for (const bool is_move : {false, true}) {
        if (is_move && is_new) {
          continue;
        }
        const auto step = search.TryCopy(
            expert, rank, is_move ? std::optional<size_t>(most) : std::nullopt,
            holders);
        if (step && (!best || step->cost < best->cost)) {
          best = step;
        }
      }
    }
  }
  return best;
}

}  // namespace

double SkewOf(const RankLists& lists,
              const Shares& shares,
              const std::vector<double>& paces) {
  return SkewOfLoads(LoadsOf(lists, shares, CountHolders(lists, shares.size())),
                     paces);
}

CopyPlan PlanCopies(const RankLists& lists,
                    const Shares& shares,
                    const Shares& remembered,
                    const CopyLimits& limits,
                    std::vector<uint32_t>& new_on_rank) {
  CopyPlan plan;
  plan.skew_before = SkewOf(lists, shares, limits.paces);
  plan.skew_after = plan.skew_before;
  new_on_rank.resize(lists.size(), 0);
  Search search{.shares = shares,
                .remembered = remembered,
                .limits = limits,
                .new_elsewhere = new_on_rank,
                .lists = lists,
                .added = std::vector<std::vector<uint16_t>>(lists.size())};
  std::vector<uint32_t> holders = CountHolders(lists, shares.size());
  std::vector<uint32_t> copies_on_rank(lists.size(), 0);
  while (plan.copies < limits.most_copies) {
    const auto step = FindBestStep(search, holders);
    if (!step || plan.skew_after - step->skew < limits.least_gain) {
      break;
    }
    search.Make(*step, holders);
    search.added[step->rank].push_back(step->expert);
    ++copies_on_rank[step->rank];
    plan.skew_after = step->skew;
    ++plan.copies;
  }
  for (size_t rank = 0; rank < lists.size(); ++rank) {
    new_on_rank[rank] += copies_on_rank[rank];
  }
  plan.lists = std::move(search.lists);
  return plan;
}

}  // namespace bramleyspan::placement
