// The search behind PlanCopies: one set's placement, changed step by step where
// it helps the most loaded ranks most.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibPlacement/Copies.h"

namespace bramleyspan::placement::detail {

std::vector<uint32_t> CountHolders(const RankLists& lists, size_t experts);

// The load of each rank; the parts of an expert's holders are equal.
std::vector<double> LoadsOf(const RankLists& lists,
                            const Shares& shares,
                            const std::vector<uint32_t>& holders);

double PaceOf(const std::vector<double>& paces, size_t rank);

// One change: a copy that comes to a rank, and one that leaves it.
struct CopyStep {
  uint16_t expert = 0;
  size_t rank = 0;
  std::optional<uint16_t> dropped;
  // The rank that gives the expert up altogether; another one keeps it.
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

  // The time of the slowest rank over the mean of the loads.
  double skew() const;

  // The best step for the slowest rank that has one.
  std::optional<CopyStep> FindBestStep();

  void Apply(const CopyStep& step);

 private:
  struct LoadChange {
    size_t rank = 0;
    double delta = 0;
  };

  double TimeOf(size_t rank, double load) const;

  void AddChange(size_t rank, double delta);

  // Takes the expert's part from its holders, and gives the new part to those
  // that hold it after the step.
  void Redistribute(uint16_t expert,
                    uint32_t after,
                    std::optional<size_t> new_holder,
                    std::optional<size_t> former_holder);

  // Finds what the step changes; only the ranks that hold its experts do.
  void FindChanges(const CopyStep& step);

  // How much lower the weights are after a step that brings a rank a copy
  // behind `queued` others.
  double GainOf(const CopyStep& step, size_t queued);

  double DemandOf(uint16_t expert) const;

  // Whether the set has it; what a rank says of itself may be wrong.
  bool is_in_set(uint16_t expert) const;

  // The copy that a full rank gives up; none if it cannot.
  std::optional<uint16_t> FindDrop(size_t rank) const;

  std::optional<CopyStep> TryCopy(uint16_t expert,
                                  size_t rank,
                                  std::optional<size_t> moved_from);

  // Copies that the rank's link carries already, or will.
  size_t QueuedAt(size_t rank) const;

  bool is_accepting_copies(size_t rank) const;

  // The slowest ranks, the slowest first.
  std::vector<size_t> SlowestRanks(size_t most) const;

  // The idlest ranks that take copies.
  std::vector<size_t> LeastLoadedRanks(size_t most) const;

  template <typename Before>
  void KeepFirst(std::vector<size_t>& ranks, size_t most, Before before) const;

  // Only a copy of what a rank holds lowers its load.
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
  // The ranks that hold each expert, and the loads, 1 being the mean; they
  // follow `lists`.
  std::vector<std::vector<size_t>> ranks_of;
  std::vector<double> loads;
  // What turns a share into a load.
  double load_per_share = 0;
  std::vector<LoadChange> changes;
};

}  // namespace bramleyspan::placement::detail
