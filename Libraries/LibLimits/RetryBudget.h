// Retries and hedges as a share of first attempts: one budget per owner within
// one per process. When many targets fail at once every caller's request wants
// a second attempt, and without a budget the second attempts keep the rest of
// the targets overloaded after the cause is gone (a retry storm).
#pragma once

#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::limits {

struct RetrySettings {
  // Retries earned by each first attempt.
  double share = 0.1;
  // What a budget holds at most, and at the start.
  double burst = 10;
};

struct RetryBudget {
  RetrySettings settings;
  double process_level = settings.burst;
  std::map<std::string, double> owner_levels;
};

// An owner's request is attempted for the first time.
void RecordFirstAttempt(RetryBudget& budget, const std::string& owner);

// Takes one retry or hedge of an owner, if both budgets have one left. The
// caller has made sure that the request may be repeated or has not run.
bool TakeRetry(RetryBudget& budget, const std::string& owner);

}  // namespace bramleyspan::limits
