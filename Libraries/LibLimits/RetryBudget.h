// Limits retries and hedged requests to a share of first attempts, by one
// budget per owner and one for the whole process. Failure: many targets fail at
// once, every request needs a second attempt, and the second attempts keep the
// other targets overloaded after the cause is gone (a retry storm).
#pragma once

#include <map>
#include <string>

#include "Kernel/Time.h"

namespace bramleyspan::limits {

struct RetrySettings {
  // Retries that each first attempt adds to a budget.
  double share = 0.1;
  // What a budget holds at most and at the start.
  double burst = 10;
};

struct RetryBudget {
  RetrySettings settings;
  double process_level = settings.burst;
  std::map<std::string, double> owner_levels;
};

// Adds a first attempt's share to the budgets of its owner and of the process.
void RecordFirstAttempt(RetryBudget& budget, const std::string& owner);

// Takes one retry or hedged request from both budgets; returns false and takes
// nothing if either is empty. The caller has checked that the request may be
// repeated or has not run.
bool TakeRetry(RetryBudget& budget, const std::string& owner);

}  // namespace bramleyspan::limits
