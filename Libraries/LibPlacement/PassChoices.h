// Adds up how often each expert was chosen by the ranks of a group in one pass.
// A pass is one lock-step iteration of all ranks. A rank counts the choices of
// a pass as the pass begins, so the first pass after a demand shift shows the
// whole shift, provided that passes are kept apart.
//
// Samples cut by time instead of by pass mix the demand before and after a
// shift. A map planned for such a mixture is replaced 0.1 s later, but its
// copies still occupy the links, and the correct map takes effect 0.7 s after
// the shift instead of 0.4 s.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::placement {

// How often each expert was chosen, by set and expert.
using Choices = std::vector<std::vector<double>>;

// Returns whether a rank reports its choices in a pass. All ranks see the same
// demand, so a rotating subset is enough; the counts of 32 ranks in every pass
// would fill the link of the map's owner.
bool is_reporter(uint32_t rank, uint32_t ranks, uint64_t step);

// Expert counts in one byte each, as multiples of `unit`. The rounding error is
// below 1/255 of the largest count.
struct PackedCounts {
  std::vector<uint8_t> counts;
  float unit = 1;
};

PackedCounts PackCounts(std::span<const uint32_t> counts);
std::vector<uint32_t> UnpackCounts(const PackedCounts& packed);

struct PassChoices {
  uint64_t epoch = 0;
  uint64_t step = 0;
  Choices sums;
  std::set<uint32_t> ranks;
  TimePoint started_at;
  // Whether the sums of this pass were returned already; later reports for it
  // are dropped.
  bool is_emitted = true;
};

// The choices of one rank up to the beginning of a pass.
struct RankChoices {
  uint32_t rank = 0;
  uint64_t epoch = 0;
  uint64_t step = 0;
  // The count of each expert, all sets in a row.
  std::span<const uint32_t> counts;
};

struct ChoicesShape {
  // Ranks of the group.
  uint32_t ranks = 0;
  uint32_t sets = 0;
  uint32_t experts = 0;
  // The number of ranks that report each pass; 0 for those selected by
  // `is_reporter`.
  uint32_t reporters = 0;
};

// Adds the choices of a rank. Returns the sums of the pass if it is complete,
// or else those of an incomplete pass that this newer one replaces.
std::optional<Choices> AddChoices(PassChoices& pass,
                                  const RankChoices& chosen,
                                  const ChoicesShape& shape,
                                  TimePoint now);

// Returns the sums of an incomplete pass that is overdue: a reporter's agent
// may have died or its datagram may be lost.
std::optional<Choices> EmitIfOverdue(PassChoices& pass, TimePoint now);

}  // namespace bramleyspan::placement
