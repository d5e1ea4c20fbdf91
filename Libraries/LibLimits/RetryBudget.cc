#include "LibLimits/RetryBudget.h"

#include <algorithm>

namespace bramleyspan::limits {

namespace {

double& LevelOf(RetryBudget& budget, const std::string& owner) {
  return budget.owner_levels.try_emplace(owner, budget.settings.burst)
      .first->second;
}

void Refill(const RetrySettings& settings, double& level) {
  level = std::min(settings.burst, level + settings.share);
}

}  // namespace

void RecordFirstAttempt(RetryBudget& budget, const std::string& owner) {
  Refill(budget.settings, budget.process_level);
  Refill(budget.settings, LevelOf(budget, owner));
}

bool TakeRetry(RetryBudget& budget, const std::string& owner) {
  double& level = LevelOf(budget, owner);
  if (level < 1 || budget.process_level < 1) {
    return false;
  }
  --level;
  --budget.process_level;
  return true;
}

}  // namespace bramleyspan::limits
