#include "LibPlacement/Copies.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

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
  double gain = 0;
};

struct LoadChange {
  size_t rank = 0;
  double by = 0;
};

// Of several ranks that are equally loaded none lowers the skew by itself. The
// sum of these weights falls with each, and is ruled by the most loaded ones.
double WeightOf(double load) {
  const double square = load * load;
  return square * square * square * square;
}

void MakeIn(RankLists& lists, const Step& step) {
  if (step.dropped) {
    std::erase(lists[step.rank], *step.dropped);
  }
  if (step.moved_from) {
    std::erase(lists[*step.moved_from], step.expert);
  }
  lists[step.rank].push_back(step.expert);
}

// A placement of one set that is changed step by step.
struct Search {
  const Shares& shares;
  const Shares& remembered;
  const CopyLimits& limits;
  const std::vector<uint32_t>& new_elsewhere;
  RankLists lists;
  std::vector<uint32_t> holders;
  std::vector<std::vector<uint16_t>> added;
  // The ranks that hold each expert, and the loads, 1 being the mean; they
  // follow `lists`.
  std::vector<std::vector<size_t>> ranks_of = {};
  std::vector<double> loads = {};
  double scale = 0;
  std::vector<LoadChange> changes = {};

  void Index() {
    this->ranks_of.assign(this->shares.size(), {});
    for (size_t rank = 0; rank < this->lists.size(); ++rank) {
      for (const uint16_t expert : this->lists[rank]) {
        if (expert < this->ranks_of.size()) {
          this->ranks_of[expert].push_back(rank);
        }
      }
    }
    this->loads = LoadsOf(this->lists, this->shares, this->holders);
    const double total =
        std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    this->scale =
        total == 0 ? 0 : static_cast<double>(this->loads.size()) / total;
    for (double& load : this->loads) {
      load *= this->scale;
    }
  }

  double TimeOf(size_t rank, double load) const {
    return load * PaceOf(this->limits.paces, rank);
  }

  double skew() const {
    double most = 1;
    for (size_t rank = 0; rank < this->loads.size(); ++rank) {
      most = std::max(most, this->TimeOf(rank, this->loads[rank]));
    }
    return most;
  }

  void Change(size_t rank, double by) {
    for (LoadChange& change : this->changes) {
      if (change.rank == rank) {
        change.by += by;
        return;
      }
    }
    this->changes.push_back({rank, by});
  }

  // Takes the expert's part from its holders, and gives the new part to those
  // that hold it after the step.
  void Share(uint16_t expert,
             uint32_t after,
             std::optional<size_t> comes,
             std::optional<size_t> leaves) {
    const double all = this->shares[expert] * this->scale;
    const double part_before = all / std::max(1U, this->holders[expert]);
    const double part_after = all / std::max(1U, after);
    for (const size_t rank : this->ranks_of[expert]) {
      this->Change(rank, (rank == leaves ? 0 : part_after) - part_before);
    }
    if (comes) {
      this->Change(*comes, part_after);
    }
  }

  // Finds what the step changes; only the ranks that hold its experts do.
  void FindChanges(const Step& step) {
    this->changes.clear();
    const uint32_t before = this->holders[step.expert];
    this->Share(step.expert, step.moved_from ? before : before + 1, step.rank,
                step.moved_from);
    if (step.dropped) {
      this->Share(*step.dropped, this->holders[*step.dropped] - 1, std::nullopt,
                  step.rank);
    }
  }

  // How much lower the weights are after a step that brings a rank a copy
  // behind `queued` others.
  double GainOf(const Step& step, size_t queued) {
    this->FindChanges(step);
    double gain = 0;
    for (const LoadChange& change : this->changes) {
      const double before = this->loads[change.rank];
      double after = before + change.by;
      if (change.rank == step.rank) {
        after += kLinkWeight * static_cast<double>(queued);
      }
      gain += WeightOf(this->TimeOf(change.rank, before)) -
              WeightOf(this->TimeOf(change.rank, after));
    }
    return gain;
  }

  double ValueOf(uint16_t expert) const {
    const double present = this->shares[expert];
    const double past =
        expert < this->remembered.size() ? this->remembered[expert] : 0;
    return std::max(present, kRememberedWeight * past);
  }

  // The copy that a full rank gives up; none if it cannot.
  std::optional<uint16_t> FindDrop(size_t rank) const {
    std::optional<uint16_t> found;
    for (const uint16_t expert : this->lists[rank]) {
      if (this->holders[expert] < 2 || is_held(this->added[rank], expert)) {
        continue;
      }
      if (!found || this->ValueOf(expert) / this->holders[expert] <
                        this->ValueOf(*found) / this->holders[*found]) {
        found = expert;
      }
    }
    return found;
  }

  std::optional<Step> TryCopy(uint16_t expert,
                              size_t rank,
                              std::optional<size_t> moved_from) {
    if (is_held(this->lists[rank], expert)) {
      return std::nullopt;
    }
    Step step{.expert = expert, .rank = rank, .moved_from = moved_from};
    if (this->lists[rank].size() >= this->limits.places_per_rank) {
      step.dropped = this->FindDrop(rank);
      if (!step.dropped) {
        return std::nullopt;
      }
    }
    step.gain = this->GainOf(step, this->QueuedAt(rank));
    return step;
  }

  // Copies that the rank's link carries already, or will.
  size_t QueuedAt(size_t rank) const {
    return this->new_elsewhere[rank] + this->added[rank].size();
  }

  bool is_taking_copies(size_t rank) const {
    const bool is_link_taken =
        this->limits.most_new_on_rank != 0 &&
        this->QueuedAt(rank) >= this->limits.most_new_on_rank;
    return !is_link_taken && this->added[rank].size() < this->limits.spare;
  }

  // The slowest ranks, the slowest first.
  std::vector<size_t> SlowestRanks(size_t most) const {
    std::vector<size_t> ranks(this->loads.size());
    std::iota(ranks.begin(), ranks.end(), 0);
    this->KeepFirst(ranks, most,
                    [](double left, double right) { return left > right; });
    return ranks;
  }

  // The idlest ranks that take copies.
  std::vector<size_t> IdlestRanks(size_t most) const {
    std::vector<size_t> ranks;
    for (size_t rank = 0; rank < this->loads.size(); ++rank) {
      if (this->is_taking_copies(rank)) {
        ranks.push_back(rank);
      }
    }
    this->KeepFirst(ranks, most, std::less<>());
    return ranks;
  }

  template <typename Before>
  void KeepFirst(std::vector<size_t>& ranks, size_t most, Before before) const {
    most = std::min(most, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<int64_t>(most),
                      ranks.end(), [this, before](size_t left, size_t right) {
                        return before(this->TimeOf(left, this->loads[left]),
                                      this->TimeOf(right, this->loads[right]));
                      });
    ranks.resize(most);
  }

  // Only a copy of what a rank holds lowers its load.
  std::optional<Step> FindRelief(size_t slow, const std::vector<size_t>& idle) {
    std::optional<Step> best;
    for (const uint16_t expert : this->lists[slow]) {
      const bool is_new = is_held(this->added[slow], expert);
      for (const size_t rank : idle) {
        for (const bool is_move : {false, true}) {
          if (rank == slow || (is_move && is_new)) {
            continue;
          }
          const auto step = this->TryCopy(
              expert, rank,
              is_move ? std::optional<size_t>(slow) : std::nullopt);
          if (step && step->gain > 0 && (!best || step->gain > best->gain)) {
            best = step;
          }
        }
      }
    }
    return best;
  }

  // The best step for the slowest rank that has one.
  std::optional<Step> FindBestStep() {
    constexpr size_t kSlowRanksTried = 3;
    constexpr size_t kIdleRanksTried = 16;
    const std::vector<size_t> idle = this->IdlestRanks(kIdleRanksTried);
    for (const size_t slow : this->SlowestRanks(kSlowRanksTried)) {
      if (const auto step = this->FindRelief(slow, idle)) {
        return step;
      }
    }
    return std::nullopt;
  }

  void Make(const Step& step) {
    MakeIn(this->lists, step);
    this->FindChanges(step);
    for (const LoadChange& change : this->changes) {
      this->loads[change.rank] += change.by;
    }
    if (step.dropped) {
      this->TakeAway(*step.dropped, step.rank);
    }
    if (step.moved_from) {
      this->TakeAway(step.expert, *step.moved_from);
    }
    this->ranks_of[step.expert].push_back(step.rank);
    ++this->holders[step.expert];
    this->added[step.rank].push_back(step.expert);
  }

  void TakeAway(uint16_t expert, size_t rank) {
    std::erase(this->ranks_of[expert], rank);
    --this->holders[expert];
  }
};

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
  new_on_rank.resize(lists.size(), 0);
  Search search{.shares = shares,
                .remembered = remembered,
                .limits = limits,
                .new_elsewhere = new_on_rank,
                .lists = lists,
                .holders = CountHolders(lists, shares.size()),
                .added = std::vector<std::vector<uint16_t>>(lists.size())};
  search.Index();
  CopyPlan plan{.lists = lists, .skew_before = search.skew()};
  plan.skew_after = plan.skew_before;
  // Some copies lower the skew only together with those that follow.
  std::vector<Step> steps;
  while (steps.size() < limits.most_copies) {
    const auto step = search.FindBestStep();
    if (!step) {
      break;
    }
    search.Make(*step);
    steps.push_back(*step);
    const double skew = search.skew();
    const auto more = static_cast<double>(steps.size() - plan.copies);
    if (plan.skew_after - skew >= more * limits.least_gain) {
      plan.skew_after = skew;
      plan.copies = static_cast<uint32_t>(steps.size());
    }
  }
  steps.resize(plan.copies);
  for (const Step& step : steps) {
    MakeIn(plan.lists, step);
    ++new_on_rank[step.rank];
  }
  return plan;
}

}  // namespace bramleyspan::placement
