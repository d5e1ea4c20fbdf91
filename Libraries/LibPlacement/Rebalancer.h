// Decides when a group's experts move: the step time that a plan is expected
// to save against what its loads cost, weighted by the catalogue.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "LibPlacement/Improve.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/Popularity.h"

namespace bramleyspan::placement {

// What a group is and how much a move may cost it.
struct RebalanceSettings {
  Shape shape;
  uint64_t expert_bytes = 0;
  // Of the catalogue's group: 0 never moves, 1 counts only step time.
  double skew_weight = 0.5;
  // The time that one layer's experts take in a step whose ranks are even.
  Duration balanced_layer_time = std::chrono::microseconds(400);
  // The time from a step to the next.
  Duration step_time = std::chrono::milliseconds(50);
  // Tokens that a step routes in a layer, each choice of an expert counted.
  double tokens_per_step = 0;
  // How long a plan is expected to pay.
  Duration horizon = std::chrono::minutes(15);
  // After this time without observations a popularity counts half.
  Duration half_life = std::chrono::minutes(2);
  // Seconds of skew that a gigabyte is worth at a skew_weight of one half.
  double seconds_per_gigabyte = 1;
  // The time for which a switch of the map stalls the group.
  Duration switch_stall = std::chrono::milliseconds(100);
  // A plan must gain this many times its cost.
  double hysteresis = 1.5;
  // The part by which the estimated load of a rank wavers although popularity
  // does not drift: requests of one moment share topics.
  double share_noise = 0.04;
  // A gain counts only beyond this many standard deviations of the estimate.
  double min_deviations = 2;
  // Loads that a group may start in any hour.
  size_t loads_per_hour = 64;
  // Changes younger than this are not undone at their plain price.
  Duration settle_time = std::chrono::hours(1);
  double undo_price = 4;
  uint32_t staging_slots = 2;
};

// A copy that came or went, and when.
struct RecentChange {
  uint32_t layer = 0;
  Copy copy;
  TimePoint at;
  bool is_load = false;
};

// A placement to switch to, with the loads that must come before it.
struct Plan {
  Placement placement;
  std::vector<ExpertLoad> loads;
  // Expected time saved over the horizon, in seconds of step time.
  std::chrono::duration<double> gain{};
  // The price of the loads and of the switch, in the same unit.
  std::chrono::duration<double> cost{};
};

// Why a proposal has no plan.
enum class HoldReason {
  kNone,
  // A plan is being loaded; a second one would race it.
  kPlanUnderway,
  kNothingObserved,
  // No change helps beyond the noise of the estimate and the cost.
  kGainTooSmall,
  // The hour's loads are spent.
  kBudgetSpent,
};

struct Proposal {
  std::optional<Plan> plan;
  HoldReason hold = HoldReason::kNone;
};

// A group's popularity and placement.
struct Rebalancer {
  RebalanceSettings settings;
  Placement in_force;
  std::vector<Popularity> popularity;
  std::deque<RecentChange> recent;
  bool is_plan_underway = false;
};

// Starts with a placement that is in force. Fails if it does not fit.
Result<Rebalancer> StartRebalancer(RebalanceSettings settings,
                                   Placement in_force);

// Takes the routed tokens of one layer in one step, by expert.
void ObserveLayer(Rebalancer& rebalancer,
                  uint32_t layer,
                  const std::vector<uint32_t>& routed_tokens,
                  TimePoint now);

// Proposes a plan if one is worth it. Its loads count against the hour's
// budget from now on, whatever becomes of the plan: the bytes are read either
// way. Exactly one of the two functions below must follow a plan.
Proposal ProposePlan(Rebalancer& rebalancer, TimePoint now);

// The group has switched to the plan's placement.
void HandleSwitched(Rebalancer& rebalancer, const Plan& plan, TimePoint now);

// The plan was given up; the placement in force stands.
void HandleAbandoned(Rebalancer& rebalancer);

}  // namespace bramleyspan::placement
