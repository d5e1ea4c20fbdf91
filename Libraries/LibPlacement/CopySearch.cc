#include "LibPlacement/CopySearch.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace bramleyspan::placement::detail {

namespace {

// The weight of remembered demand relative to present demand.
constexpr double kRememberedWeight = 0.3;
// The load added to a copy's gain estimate for each copy that is queued before
// it on its rank's link, since it arrives later.
constexpr double kQueuedCopyLoad = 0.02;

// Returns the eighth power of a load. Relieving one of several equally loaded
// ranks does not lower the skew but does lower the sum of these penalties,
// which the most loaded ranks dominate.
double LoadPenalty(double load) {
  const double square = load * load;
  return square * square * square * square;
}

bool is_held(const std::vector<uint16_t>& list, uint16_t expert) {
  return std::find(list.begin(), list.end(), expert) != list.end();
}

}  // namespace

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

void ApplyStep(RankLists& lists, const CopyStep& step) {
  if (step.dropped) {
    std::erase(lists[step.rank], *step.dropped);
  }
  if (step.moved_from) {
    std::erase(lists[*step.moved_from], step.expert);
  }
  lists[step.rank].push_back(step.expert);
}

CopySearch::CopySearch(const RankLists& lists,
                       const Shares& shares,
                       const Shares& remembered,
                       const CopyLimits& limits,
                       const std::vector<uint32_t>& new_elsewhere)
    : shares(shares),
      remembered(remembered),
      limits(limits),
      new_elsewhere(new_elsewhere),
      lists(lists),
      holders(CountHolders(lists, shares.size())),
      added(lists.size()) {
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
  this->load_per_share =
      total == 0 ? 0 : static_cast<double>(this->loads.size()) / total;
  for (double& load : this->loads) {
    load *= this->load_per_share;
  }
}

double CopySearch::TimeOf(size_t rank, double load) const {
  return load * PaceOf(this->limits.paces, rank);
}

double CopySearch::skew() const {
  double max_time = 1;
  for (size_t rank = 0; rank < this->loads.size(); ++rank) {
    max_time = std::max(max_time, this->TimeOf(rank, this->loads[rank]));
  }
  return max_time;
}

void CopySearch::AddChange(size_t rank, double delta) {
  for (LoadChange& change : this->changes) {
    if (change.rank == rank) {
      change.delta += delta;
      return;
    }
  }
  this->changes.push_back({rank, delta});
}

void CopySearch::Redistribute(uint16_t expert,
                              uint32_t holders_after,
                              std::optional<size_t> new_holder,
                              std::optional<size_t> former_holder) {
  const double expert_load = this->shares[expert] * this->load_per_share;
  const double share_before = expert_load / std::max(1U, this->holders[expert]);
  const double share_after = expert_load / std::max(1U, holders_after);
  for (const size_t rank : this->ranks_of[expert]) {
    this->AddChange(rank,
                    (rank == former_holder ? 0 : share_after) - share_before);
  }
  if (new_holder) {
    this->AddChange(*new_holder, share_after);
  }
}

void CopySearch::FindChanges(const CopyStep& step) {
  this->changes.clear();
  const uint32_t before = this->holders[step.expert];
  this->Redistribute(step.expert, step.moved_from ? before : before + 1,
                     step.rank, step.moved_from);
  if (step.dropped) {
    this->Redistribute(*step.dropped, this->holders[*step.dropped] - 1,
                       std::nullopt, step.rank);
  }
}

double CopySearch::GainOf(const CopyStep& step, size_t queued) {
  this->FindChanges(step);
  double gain = 0;
  for (const LoadChange& change : this->changes) {
    const double before = this->loads[change.rank];
    double after = before + change.delta;
    if (change.rank == step.rank) {
      after += kQueuedCopyLoad * static_cast<double>(queued);
    }
    gain += LoadPenalty(this->TimeOf(change.rank, before)) -
            LoadPenalty(this->TimeOf(change.rank, after));
  }
  return gain;
}

double CopySearch::DemandOf(uint16_t expert) const {
  const double present = this->shares[expert];
  const double remembered_share =
      expert < this->remembered.size() ? this->remembered[expert] : 0;
  return std::max(present, kRememberedWeight * remembered_share);
}

bool CopySearch::is_in_set(uint16_t expert) const {
  return expert < this->shares.size();
}

std::optional<uint16_t> CopySearch::FindDrop(size_t rank) const {
  std::optional<uint16_t> found;
  for (const uint16_t expert : this->lists[rank]) {
    if (!this->is_in_set(expert) || this->holders[expert] < 2 ||
        is_held(this->added[rank], expert)) {
      continue;
    }
    if (!found || this->DemandOf(expert) / this->holders[expert] <
                      this->DemandOf(*found) / this->holders[*found]) {
      found = expert;
    }
  }
  return found;
}

std::optional<CopyStep> CopySearch::TryCopy(uint16_t expert,
                                            size_t rank,
                                            std::optional<size_t> moved_from) {
  if (is_held(this->lists[rank], expert)) {
    return std::nullopt;
  }
  CopyStep step{.expert = expert, .rank = rank, .moved_from = moved_from};
  if (this->lists[rank].size() >= this->limits.expert_slots_per_rank) {
    step.dropped = this->FindDrop(rank);
    if (!step.dropped) {
      return std::nullopt;
    }
  }
  step.gain = this->GainOf(step, this->QueuedAt(rank));
  return step;
}

size_t CopySearch::QueuedAt(size_t rank) const {
  return this->new_elsewhere[rank] + this->added[rank].size();
}

bool CopySearch::is_accepting_copies(size_t rank) const {
  const bool is_link_full =
      this->limits.max_new_on_rank != 0 &&
      this->QueuedAt(rank) >= this->limits.max_new_on_rank;
  return !is_link_full && this->added[rank].size() < this->limits.spare;
}

std::vector<size_t> CopySearch::SlowestRanks(size_t max_count) const {
  std::vector<size_t> ranks(this->loads.size());
  std::iota(ranks.begin(), ranks.end(), 0);
  this->KeepFirst(ranks, max_count,
                  [](double left, double right) { return left > right; });
  return ranks;
}

std::vector<size_t> CopySearch::LeastLoadedRanks(size_t max_count) const {
  std::vector<size_t> ranks;
  for (size_t rank = 0; rank < this->loads.size(); ++rank) {
    if (this->is_accepting_copies(rank)) {
      ranks.push_back(rank);
    }
  }
  this->KeepFirst(ranks, max_count, std::less<>());
  return ranks;
}

template <typename Before>
void CopySearch::KeepFirst(std::vector<size_t>& ranks,
                           size_t max_count,
                           Before before) const {
  max_count = std::min(max_count, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<int64_t>(max_count),
                    ranks.end(), [this, before](size_t left, size_t right) {
                      return before(this->TimeOf(left, this->loads[left]),
                                    this->TimeOf(right, this->loads[right]));
                    });
  ranks.resize(max_count);
}

std::optional<CopyStep> CopySearch::FindReliefStep(
    size_t slow,
    const std::vector<size_t>& receivers) {
  std::optional<CopyStep> best;
  for (const uint16_t expert : this->lists[slow]) {
    if (!this->is_in_set(expert)) {
      continue;
    }
    const bool is_new = is_held(this->added[slow], expert);
    for (const size_t rank : receivers) {
      for (const bool is_move : {false, true}) {
        if (rank == slow || (is_move && is_new)) {
          continue;
        }
        const auto step = this->TryCopy(
            expert, rank, is_move ? std::optional<size_t>(slow) : std::nullopt);
        if (step && step->gain > 0 && (!best || step->gain > best->gain)) {
          best = step;
        }
      }
    }
  }
  return best;
}

std::optional<CopyStep> CopySearch::FindBestStep() {
  constexpr size_t kSlowRanksTried = 3;
  constexpr size_t kReceiversTried = 16;
  const std::vector<size_t> receivers = this->LeastLoadedRanks(kReceiversTried);
  for (const size_t slow : this->SlowestRanks(kSlowRanksTried)) {
    if (const auto step = this->FindReliefStep(slow, receivers)) {
      return step;
    }
  }
  return std::nullopt;
}

void CopySearch::Apply(const CopyStep& step) {
  ApplyStep(this->lists, step);
  this->FindChanges(step);
  for (const LoadChange& change : this->changes) {
    this->loads[change.rank] += change.delta;
  }
  if (step.dropped) {
    this->RemoveHolder(*step.dropped, step.rank);
  }
  if (step.moved_from) {
    this->RemoveHolder(step.expert, *step.moved_from);
  }
  this->ranks_of[step.expert].push_back(step.rank);
  ++this->holders[step.expert];
  this->added[step.rank].push_back(step.expert);
}

void CopySearch::RemoveHolder(uint16_t expert, size_t rank) {
  std::erase(this->ranks_of[expert], rank);
  --this->holders[expert];
}

}  // namespace bramleyspan::placement::detail
