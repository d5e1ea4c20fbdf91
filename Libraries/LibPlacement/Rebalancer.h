// Decides when to change a group's expert placement: weighs the step time that
// a plan is expected to save against the cost of its loads, by the catalogue's
// skew weight.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "LibPlacement/Improve.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/Popularity.h"

namespace bramleyspan::placement {

// Properties of a group and limits on its placement changes.
struct RebalanceSettings {
  Shape shape;
  uint64_t expert_bytes = 0;
  // The catalogue's weight of skew against bytes: 0 never changes the
  // placement, 1 ignores the cost of loads.
  double skew_weight = 0.5;
  // The time of one layer's experts in a step with evenly loaded ranks.
  Duration balanced_layer_time = std::chrono::microseconds(400);
  // The interval between steps.
  Duration step_time = std::chrono::milliseconds(50);
  // Tokens that a step routes in a layer; each choice of an expert counts once.
  double tokens_per_step = 0;
  // The time over which a plan's gain is counted.
  Duration horizon = std::chrono::minutes(15);
  // The half-life of the popularity counts.
  Duration half_life = std::chrono::minutes(2);
  // Seconds of step time that loading one gigabyte costs at a skew_weight of
  // 0.5.
  double seconds_per_gigabyte = 1;
  // The time for which a switch of the map stalls the group.
  Duration switch_stall = std::chrono::milliseconds(100);
  // A plan's gain must exceed its cost by this factor.
  double hysteresis = 1.5;
  // The relative standard deviation of a rank's load without any drift of
  // popularity: concurrent requests share topics.
  double share_noise = 0.04;
  // The saved skew must exceed this many standard deviations of the estimate.
  double min_deviations = 2;
  // Loads that a group may start within an hour.
  size_t loads_per_hour = 64;
  // Undoing a change younger than this costs `undo_price` loads per copy.
  Duration settle_time = std::chrono::hours(1);
  double undo_price = 4;
  uint32_t staging_slots = 2;
};

// A copy that was loaded or dropped, and when.
struct RecentChange {
  uint32_t layer = 0;
  Copy copy;
  TimePoint at;
  bool is_load = false;
};

// A placement to switch to, with the loads that must complete before the
// switch.
struct Plan {
  Placement placement;
  std::vector<ExpertLoad> loads;
  // The step time expected to be saved over the horizon.
  std::chrono::duration<double> gain{};
  // The cost of the loads and of the switch, in the same unit.
  std::chrono::duration<double> cost{};
};

// Why a proposal has no plan.
enum class HoldReason {
  kNone,
  // A plan is being loaded; a second one would race with it.
  kPlanUnderway,
  kNothingObserved,
  // No change has a gain above its cost and the noise of the estimate.
  kGainTooSmall,
  // The hourly budget of loads is used up.
  kBudgetSpent,
};

struct Proposal {
  std::optional<Plan> plan;
  HoldReason hold = HoldReason::kNone;
};

// The rebalancing state of one group.
struct Rebalancer {
  RebalanceSettings settings;
  Placement in_force;
  std::vector<Popularity> popularity;
  std::deque<RecentChange> recent;
  bool is_plan_underway = false;
};

// Returns a rebalancer for the placement in force. Fails if the placement does
// not fit the shape.
Result<Rebalancer> StartRebalancer(RebalanceSettings settings,
                                   Placement in_force);

// Adds the routed tokens of one layer in one step, by expert.
void ObserveLayer(Rebalancer& rebalancer,
                  uint32_t layer,
                  const std::vector<uint32_t>& routed_tokens,
                  TimePoint now);

// Returns a plan if its gain justifies its cost. Its loads count against the
// hourly budget even if the plan is abandoned, since the bytes are read either
// way. Exactly one of the two functions below must be called for each plan.
Proposal ProposePlan(Rebalancer& rebalancer, TimePoint now);

// Handles the group's switch to the plan's placement.
void HandleSwitched(Rebalancer& rebalancer, const Plan& plan, TimePoint now);

// Handles an abandoned plan; the placement in force stays.
void HandleAbandoned(Rebalancer& rebalancer);

}  // namespace bramleyspan::placement
