// Who tells whom in a group of ranks. The agents of a small group tell the
// owner of its map, beside rank 0, themselves. In a large one a few leaders
// stand between: each speaks for the ranks below it and passes on what the
// owner says, so that no agent hears of more than its fan-out and the leaders.
#pragma once

#include <cstdint>

namespace bramleyspan::mapswitch {

struct Tree {
  // Ranks of the group.
  uint32_t size = 0;
  // Ranks that one agent tells and hears itself.
  uint32_t fan_out = 12;
};

// Leaders are ranks 1 to this number; none in a small group.
uint32_t CountLeaders(const Tree& tree);

bool is_leader(const Tree& tree, uint32_t rank);

// The rank whose agent hears of this one first; 0 for the owner itself.
uint32_t SuperiorOf(const Tree& tree, uint32_t rank);

// Ranks that a leader speaks for, itself among them.
uint32_t CountLed(const Tree& tree, uint32_t leader);

// Whether it is a rank's turn to tell what it chose in a pass: that of the
// ranks of one leader, which sums them up.
bool is_reporter(const Tree& tree, uint32_t rank, uint64_t step);

}  // namespace bramleyspan::mapswitch
