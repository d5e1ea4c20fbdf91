#include "LibPlacement/Rebalancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::placement {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kBudgetWindow = std::chrono::hours(1);
constexpr double kBytesPerGigabyte = 1e9;
// Below this skew weight a second of skew has no value. The bound keeps the
// cost of a load finite.
constexpr double kMinWeight = 1e-6;

// The profitable changes of one layer.
struct LayerPlan {
  uint32_t layer = 0;
  std::vector<Change> changes;
  Seconds gain{};
  Seconds cost{};
  size_t loads = 0;
};

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the cost of one load in seconds of step time. The catalogue weighs a
// second of skew against a gigabyte, so the exchange rate is the quotient of
// the weights.
double CostOfLoad(const RebalanceSettings& settings) {
  const double weight = std::max(settings.skew_weight, kMinWeight);
  return static_cast<double>(settings.expert_bytes) / kBytesPerGigabyte *
         settings.seconds_per_gigabyte * (1 - weight) / weight;
}

// Returns the factor by which the cost of a load rises as the hourly budget is
// used up. Without it small gains use up the budget and none is left for a
// sudden change of popularity.
double ScarcityFactor(const RebalanceSettings& settings, size_t loads_left) {
  return static_cast<double>(settings.loads_per_hour) /
         static_cast<double>(loads_left);
}

double StepsInHorizon(const RebalanceSettings& settings) {
  return ToSeconds(settings.horizon) / ToSeconds(settings.step_time);
}

// Returns the standard deviation of the slowest rank's estimated load relative
// to the mean. It combines token sampling and load noise that is not drift.
double DeviationOfEstimate(const RebalanceSettings& settings,
                           double slowest,
                           double effective_tokens) {
  const double sampling = slowest * settings.shape.ranks / effective_tokens;
  const double noise = settings.share_noise * slowest;
  return std::sqrt(sampling + noise * noise);
}

SearchLimits LimitsFor(const Rebalancer& rebalancer,
                       uint32_t layer,
                       size_t max_loads) {
  SearchLimits limits{.max_loads = max_loads,
                      .staging_slots = rebalancer.settings.staging_slots,
                      .recent = {},
                      .undo_price = rebalancer.settings.undo_price};
  for (const RecentChange& change : rebalancer.recent) {
    if (change.layer == layer) {
      limits.recent.insert(change.copy);
    }
  }
  return limits;
}

// Returns the prefix of the layer's best changes with the largest net gain.
LayerPlan PlanLayer(const Rebalancer& rebalancer,
                    uint32_t layer,
                    size_t loads_left) {
  const RebalanceSettings& settings = rebalancer.settings;
  const uint32_t ranks = settings.shape.ranks;
  const Popularity& popularity = rebalancer.popularity[layer];
  const Shares shares = EstimateShares(popularity);
  LayerPlacement placement = rebalancer.in_force.layers[layer];
  const SearchLimits limits = LimitsFor(rebalancer, layer, loads_left);
  const std::vector<Change> changes =
      ImproveLayer(placement, shares, settings.shape, limits);

  const std::vector<double> loads = RankLoads(placement, shares, ranks);
  const double skew = ExpectedSkew(loads, settings.tokens_per_step);
  const double min_gain =
      settings.min_deviations *
      DeviationOfEstimate(settings,
                          *std::max_element(loads.begin(), loads.end()),
                          EffectiveTokens(popularity));
  const double seconds_per_skew =
      ToSeconds(settings.balanced_layer_time) * StepsInHorizon(settings);

  LayerPlan best{.layer = layer, .changes = {}};
  double price = 0;
  size_t loaded = 0;
  size_t best_size = 0;
  for (size_t size = 1; size <= changes.size(); ++size) {
    const Change& change = changes[size - 1];
    Apply(placement, change);
    price += PriceInLoads(change, limits);
    loaded += change.loads.size();
    const double saved =
        skew - ExpectedSkew(RankLoads(placement, shares, ranks),
                            settings.tokens_per_step);
    const double gain = saved * seconds_per_skew;
    const double cost =
        price * CostOfLoad(settings) * ScarcityFactor(settings, loads_left);
    // Acting on a gain within the noise of the estimate would move copies back
    // and forth.
    const bool is_significant = saved > min_gain;
    const bool is_profitable = gain > settings.hysteresis * cost;
    if (is_significant && is_profitable &&
        Seconds(gain - cost) > best.gain - best.cost) {
      best.gain = Seconds(gain);
      best.cost = Seconds(cost);
      best.loads = loaded;
      best_size = size;
    }
  }
  best.changes.assign(changes.begin(),
                      changes.begin() + static_cast<std::ptrdiff_t>(best_size));
  return best;
}

void RemoveExpiredChanges(Rebalancer& rebalancer, TimePoint now) {
  const Duration retention =
      std::max(kBudgetWindow, rebalancer.settings.settle_time);
  std::erase_if(rebalancer.recent, [&](const RecentChange& change) {
    return now - change.at >= retention;
  });
}

size_t CountLoadsLeft(const Rebalancer& rebalancer, TimePoint now) {
  const auto spent = static_cast<size_t>(
      std::count_if(rebalancer.recent.begin(), rebalancer.recent.end(),
                    [&](const RecentChange& change) {
                      return change.is_load && now - change.at < kBudgetWindow;
                    }));
  const size_t budget = rebalancer.settings.loads_per_hour;
  return budget - std::min(budget, spent);
}

// Combines layer plans into one, in descending order of gain per load, within
// `loads_left`.
Plan JoinLayerPlans(const Rebalancer& rebalancer,
                    std::vector<LayerPlan> layers,
                    size_t loads_left) {
  std::stable_sort(layers.begin(), layers.end(),
                   [](const LayerPlan& left, const LayerPlan& right) {
                     return left.gain * static_cast<double>(right.loads) >
                            right.gain * static_cast<double>(left.loads);
                   });
  Plan plan{.placement = rebalancer.in_force, .loads = {}};
  for (const LayerPlan& layer : layers) {
    if (layer.loads > loads_left) {
      continue;
    }
    loads_left -= layer.loads;
    plan.gain += layer.gain;
    plan.cost += layer.cost;
    for (const Change& change : layer.changes) {
      Apply(plan.placement.layers[layer.layer], change);
    }
  }
  plan.loads = LoadsBetween(rebalancer.in_force, plan.placement,
                            rebalancer.settings.expert_bytes);
  return plan;
}

void RecordChanges(Rebalancer& rebalancer, const Plan& plan, TimePoint now) {
  for (const ExpertLoad& load : plan.loads) {
    rebalancer.recent.push_back(
        {load.layer, {load.expert, load.rank}, now, /*is_load=*/true});
  }
  for (const ExpertLoad& drop :
       LoadsBetween(plan.placement, rebalancer.in_force, 0)) {
    rebalancer.recent.push_back(
        {drop.layer, {drop.expert, drop.rank}, now, /*is_load=*/false});
  }
}

}  // namespace

Result<Rebalancer> StartRebalancer(RebalanceSettings settings,
                                   Placement in_force) {
  TRY(Check(in_force, settings.shape));
  Rebalancer rebalancer;
  rebalancer.settings = settings;
  rebalancer.popularity.resize(in_force.layers.size());
  rebalancer.in_force = std::move(in_force);
  return rebalancer;
}

void ObserveLayer(Rebalancer& rebalancer,
                  uint32_t layer,
                  const std::vector<uint32_t>& routed_tokens,
                  TimePoint now) {
  ObserveStep(rebalancer.popularity[layer], routed_tokens,
              rebalancer.settings.half_life, now);
}

Proposal ProposePlan(Rebalancer& rebalancer, TimePoint now) {
  if (rebalancer.is_plan_underway) {
    return {.plan = std::nullopt, .hold = HoldReason::kPlanUnderway};
  }
  RemoveExpiredChanges(rebalancer, now);
  const size_t loads_left = CountLoadsLeft(rebalancer, now);
  if (loads_left == 0) {
    return {.plan = std::nullopt, .hold = HoldReason::kBudgetSpent};
  }
  std::vector<LayerPlan> layers;
  bool is_anything_observed = false;
  for (uint32_t layer = 0; layer < rebalancer.popularity.size(); ++layer) {
    if (rebalancer.popularity[layer].total <= 0) {
      continue;
    }
    is_anything_observed = true;
    LayerPlan plan = PlanLayer(rebalancer, layer, loads_left);
    if (!plan.changes.empty()) {
      layers.push_back(std::move(plan));
    }
  }
  if (!is_anything_observed) {
    return {.plan = std::nullopt, .hold = HoldReason::kNothingObserved};
  }
  Plan plan = JoinLayerPlans(rebalancer, std::move(layers), loads_left);
  plan.cost += rebalancer.settings.switch_stall;
  if (plan.gain <= rebalancer.settings.hysteresis * plan.cost) {
    return {.plan = std::nullopt, .hold = HoldReason::kGainTooSmall};
  }
  RecordChanges(rebalancer, plan, now);
  rebalancer.is_plan_underway = true;
  return {.plan = std::move(plan)};
}

void HandleSwitched(Rebalancer& rebalancer, const Plan& plan, TimePoint now) {
  rebalancer.in_force = plan.placement;
  rebalancer.is_plan_underway = false;
  RemoveExpiredChanges(rebalancer, now);
}

void HandleAbandoned(Rebalancer& rebalancer) {
  rebalancer.is_plan_underway = false;
}

}  // namespace bramleyspan::placement
