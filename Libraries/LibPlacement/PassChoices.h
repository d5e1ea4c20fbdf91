// Puts together what the ranks of a group chose in one pass. A rank counts the
// choices of a pass as the pass begins, so that the first pass after demand has
// jumped shows all of the jump, if passes are kept apart.
//
// Failure: samples cut by the clock held parts of passes before and after a
// jump. It showed as a switch planned for a mixture that never was, replaced a
// tenth of a second later, whose copies kept the links from the right ones: the
// right map came 0.7 s after the jump in place of 0.4 s.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::placement {

// How often each expert was chosen, by set.
using Choices = std::vector<std::vector<double>>;

// Whether it is a rank's turn to tell what it chose in a pass. All ranks see
// the same demand, and counts of 32 ranks in every pass would fill the owner's
// link.
bool is_reporter(uint32_t rank, uint32_t ranks, uint64_t step);

// Counts as small numbers of a unit: a byte each. What is lost is less than
// 1/255 of the most chosen expert.
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
  // Whether this pass was given out; what comes late of it is dropped.
  bool is_emitted = true;
};

// What one rank chose up to the beginning of a pass.
struct RankChoices {
  uint32_t rank = 0;
  uint64_t epoch = 0;
  uint64_t step = 0;
  // Set by set, expert by expert.
  std::span<const uint32_t> counts;
};

struct ChoicesShape {
  // Ranks of the group; those whose turn it is tell.
  uint32_t ranks = 0;
  uint32_t sets = 0;
  uint32_t experts = 0;
  // How many tell of each pass, if not those that `is_reporter` names.
  uint32_t reporters = 0;
};

// Takes what a rank chose. Returns the choices of a pass that is whole, or of
// one that a newer pass has overtaken.
std::optional<Choices> AddChoices(PassChoices& pass,
                                  const RankChoices& chosen,
                                  const ChoicesShape& shape,
                                  TimePoint now);

// Gives out a pass of which a rank has told nothing for too long: its agent may
// be gone, or its datagram was lost.
std::optional<Choices> EmitIfOverdue(PassChoices& pass, TimePoint now);

}  // namespace bramleyspan::placement
