#include "LibMapSwitch/Tree.h"

#include <algorithm>

namespace bramleyspan::mapswitch {

uint32_t CountLeaders(const Tree& tree) {
  const uint32_t fan_out = std::max(2U, tree.fan_out);
  const uint32_t others = tree.size == 0 ? 0 : tree.size - 1;
  return others <= fan_out ? 0 : (others + fan_out - 1) / fan_out;
}

bool is_leader(const Tree& tree, uint32_t rank) {
  return rank != 0 && rank <= CountLeaders(tree);
}

uint32_t SuperiorOf(const Tree& tree, uint32_t rank) {
  const uint32_t leaders = CountLeaders(tree);
  return rank <= leaders || leaders == 0 ? 0 : 1 + (rank - 1) % leaders;
}

uint32_t CountLed(const Tree& tree, uint32_t leader) {
  const uint32_t leaders = CountLeaders(tree);
  if (leader == 0 || leader > leaders) {
    return 0;
  }
  return 1 + (tree.size - 1 - leader) / leaders;
}

bool is_reporter(const Tree& tree, uint32_t rank, uint64_t step) {
  const uint32_t leaders = CountLeaders(tree);
  return leaders != 0 && rank != 0 && (rank - 1) % leaders == step % leaders;
}

}  // namespace bramleyspan::mapswitch
