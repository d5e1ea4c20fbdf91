// The greedy search of PlanCopies: changes the placement of one set step by
// step, each step where it relieves the slowest ranks most.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibPlacement/Copies.h"

namespace bramleyspan::placement::detail {

std::vector<uint32_t> CountHolders(const RankLists& lists, size_t experts);

// Returns the load of each rank. The load of an expert is split evenly over its
// holders.
std::vector<double> LoadsOf(const RankLists& lists,
                            const Shares& shares,
                            const std::vector<uint32_t>& holders);

double PaceOf(const std::vector<double>& paces, size_t rank);

// Adds a copy of `expert` to `rank`. `dropped` is the expert that a full rank
// drops for it.
struct CopyStep {
  uint16_t expert = 0;
  size_t rank = 0;
  std::optional<uint16_t> dropped;
  // The rank that drops its own copy of `expert`, if the step moves the copy.
  std::optional<size_t> moved_from;
  double gain = 0;
};

void ApplyStep(RankLists& lists, const CopyStep& step);

class CopySearch {
 public:
  CopySearch(const RankLists& lists,
             const Shares& shares,
             const Shares& remembered,
             const CopyLimits& limits,
             const std::vector<uint32_t>& new_elsewhere);

  // Returns the time of the slowest rank over the mean load, at least 1.
  double skew() const;

  // Returns the step with the most gain for the slowest rank that has one; none
  // if no step has a gain.
  std::optional<CopyStep> FindBestStep();

  void Apply(const CopyStep& step);

 private:
  struct LoadChange {
    size_t rank = 0;
    double delta = 0;
  };

  double TimeOf(size_t rank, double load) const;

  void AddChange(size_t rank, double delta);

  // Records in `changes` how the load of `expert` moves when it has
  // `holders_after` holders: every holder's share changes, `new_holder` gains
  // one and `former_holder` loses its own.
  void Redistribute(uint16_t expert,
                    uint32_t holders_after,
                    std::optional<size_t> new_holder,
                    std::optional<size_t> former_holder);

  // Fills `changes` with the load changes of the step. Only the loads of ranks
  // that hold its experts change.
  void FindChanges(const CopyStep& step);

  // Returns how much the step lowers the sum of the load penalties. `queued` is
  // the number of copies that use the receiving rank's link before this one.
  double GainOf(const CopyStep& step, size_t queued);

  double DemandOf(uint16_t expert) const;

  // Returns whether the set has the expert. A list that a rank reports may name
  // an expert that does not exist.
  bool is_in_set(uint16_t expert) const;

  // Returns the expert that a full rank drops: the one with the least demand
  // per copy; none if it has only last copies and copies of this plan.
  std::optional<uint16_t> FindDrop(size_t rank) const;

  std::optional<CopyStep> TryCopy(uint16_t expert,
                                  size_t rank,
                                  std::optional<size_t> moved_from);

  // Returns the number of copies planned for the rank, in this set and the
  // others.
  size_t QueuedAt(size_t rank) const;

  bool is_accepting_copies(size_t rank) const;

  // Returns up to `max_count` ranks, the slowest first.
  std::vector<size_t> SlowestRanks(size_t max_count) const;

  // Returns up to `max_count` ranks that accept copies, the least loaded first.
  std::vector<size_t> LeastLoadedRanks(size_t max_count) const;

  template <typename Before>
  void KeepFirst(std::vector<size_t>& ranks,
                 size_t max_count,
                 Before before) const;

  // Returns the best copy or move of an expert from the `slow` rank to a
  // receiver. Only an expert that the slow rank holds can lower its load.
  std::optional<CopyStep> FindReliefStep(size_t slow,
                                         const std::vector<size_t>& receivers);

  void RemoveHolder(uint16_t expert, size_t rank);

  const Shares& shares;
  const Shares& remembered;
  const CopyLimits& limits;
  const std::vector<uint32_t>& new_elsewhere;
  RankLists lists;
  std::vector<uint32_t> holders;
  std::vector<std::vector<uint16_t>> added;
  // The ranks that hold each expert, and the load of each rank relative to the
  // mean. Both are updated together with `lists`.
  std::vector<std::vector<size_t>> ranks_of;
  std::vector<double> loads;
  // The load of a rank that carries a share of 1, relative to the mean load.
  double load_per_share = 0;
  std::vector<LoadChange> changes;
};

}  // namespace bramleyspan::placement::detail
