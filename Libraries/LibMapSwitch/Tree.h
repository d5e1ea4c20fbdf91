// The tree by which the agents of a group exchange messages. In a small group
// each agent sends its updates to the owner, the agent beside rank 0. In a
// large group a few leaders are in between: each represents some ranks and
// forwards messages of the owner, so that no agent receives from more than its
// fan-out plus the leaders.
#pragma once

#include <cstdint>

namespace bramleyspan::mapswitch {

struct Tree {
  // Number of ranks in the group.
  uint32_t size = 0;
  // Number of ranks with which one agent exchanges messages itself.
  uint32_t fan_out = 12;
};

// Returns the number of leaders, 0 in a small group. Leaders are ranks 1 to
// this number.
uint32_t CountLeaders(const Tree& tree);

bool is_leader(const Tree& tree, uint32_t rank);

// Returns the rank whose agent receives this rank's updates; 0 for the owner
// itself.
uint32_t ParentOf(const Tree& tree, uint32_t rank);

// Returns the number of ranks that a leader represents, itself included.
uint32_t CountRepresented(const Tree& tree, uint32_t leader);

// Whether the rank reports its expert counts of this pass. For each pass the
// ranks of one leader report, and the leader adds them up.
bool is_reporter(const Tree& tree, uint32_t rank, uint64_t step);

}  // namespace bramleyspan::mapswitch
