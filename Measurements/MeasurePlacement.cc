// Measures placement policies under synthetic drift of expert popularity, with
// fixed seeds: the skew of the slowest rank and the cost of moving experts.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "LibPlacement/Rebalancer.h"

namespace bramleyspan {

namespace {

using placement::ExpectedSkew;
using placement::ExpertLoad;
using placement::LayerPlacement;
using placement::PackLayer;
using placement::Placement;
using placement::Plan;
using placement::RankLoads;
using placement::Rebalancer;
using placement::RebalanceSettings;
using placement::Shape;
using placement::Shares;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kExperts = 64;
// Simulated layers of a model with 60; all figures are per layer.
constexpr uint32_t kLayers = 3;
constexpr uint64_t kExpertBytes = 44'000'000;
constexpr size_t kLoadsPerHour = size_t{64} * kLayers;
// A layer's share of a weight store that serves a group at 1.2 GB/s.
constexpr uint64_t kStoreBytesPerSecond = 20'000'000;
constexpr Duration kTick = seconds(10);
constexpr Duration kDecisionInterval = minutes(1);
constexpr Duration kRunTime = hours(6);
constexpr Duration kUndoWindow = hours(1);
// Steps that a group loses in a switch of its map, and for each copy that a
// rank loads while it keeps stepping.
constexpr double kStalledStepsOfSwitch = 2;
constexpr double kStalledStepsOfLoad = 0.2;

enum class DriftKind { kSlow, kSwap, kSurge, kNoise };

constexpr DriftKind kDrifts[] = {DriftKind::kSlow, DriftKind::kSwap,
                                 DriftKind::kSurge, DriftKind::kNoise};

const char* NameOf(DriftKind drift) {
  switch (drift) {
    case DriftKind::kSlow:
      return "slow drift";
    case DriftKind::kSwap:
      return "sudden swap";
    case DriftKind::kSurge:
      return "night before term";
    case DriftKind::kNoise:
      return "noise, no drift";
  }
  return "";
}

double ToHours(Duration duration) {
  return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

Shares Normalize(Shares shares) {
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (double& share : shares) {
    share /= sum;
  }
  return shares;
}

Shares ZipfShares(std::mt19937_64& random) {
  Shares shares(kExperts);
  for (uint32_t expert = 0; expert < kExperts; ++expert) {
    shares[expert] = 1.0 / (expert + 1);
  }
  std::shuffle(shares.begin(), shares.end(), random);
  return Normalize(shares);
}

Shares Blend(const Shares& from, const Shares& to, double part) {
  Shares blended(from.size());
  for (size_t expert = 0; expert < from.size(); ++expert) {
    blended[expert] = from[expert] * (1 - part) + to[expert] * part;
  }
  return blended;
}

// Returns the part of the popularity, 0 to 1, that has moved to the other topic
// at a time.
double BlendAt(DriftKind drift, Duration at) {
  const double hour = ToHours(at);
  switch (drift) {
    case DriftKind::kSlow:
      return hour / ToHours(kRunTime);
    case DriftKind::kSwap:
      return hour < 2 ? 0 : 1;
    case DriftKind::kSurge: {
      // Rises within 20 minutes, stays for two hours, and falls in 20 minutes.
      const double up = std::clamp((hour - 2) * 3, 0.0, 1.0);
      const double down = std::clamp((hour - 4.33) * 3, 0.0, 1.0);
      return 0.7 * (up - down);
    }
    case DriftKind::kNoise:
      return 0;
  }
  return 0;
}

// Returns the true shares of a layer at each tick: the drift, with independent
// noise for each expert whose correlation time is two minutes.
std::vector<Shares> MakeTrueShares(DriftKind drift, uint64_t seed) {
  constexpr double kDeviation = 0.15;
  const double correlation = std::exp(-ToHours(kTick) / ToHours(minutes(2)));
  std::mt19937_64 random(seed);
  std::normal_distribution<double> normal;
  const Shares before = ZipfShares(random);
  const Shares after = ZipfShares(random);
  std::vector<double> deviation(kExperts, 0.0);
  std::vector<Shares> true_shares;
  for (Duration at{}; at < kRunTime; at += kTick) {
    Shares shares = Blend(before, after, BlendAt(drift, at));
    for (uint32_t expert = 0; expert < kExperts; ++expert) {
      deviation[expert] = deviation[expert] * correlation +
                          kDeviation *
                              std::sqrt(1 - correlation * correlation) *
                              normal(random);
      shares[expert] *= std::exp(deviation[expert]);
    }
    true_shares.push_back(Normalize(shares));
  }
  return true_shares;
}

// Draws a multinomial sample by a chain of binomials.
std::vector<uint32_t> SampleStep(const Shares& shares,
                                 uint32_t tokens,
                                 std::mt19937_64& random) {
  std::vector<uint32_t> counts;
  double rest = 1;
  for (const double share : shares) {
    const double part = std::min(1.0, share / std::max(rest, 1e-12));
    std::binomial_distribution<uint32_t> draw(tokens, part);
    counts.push_back(draw(random));
    tokens -= counts.back();
    rest -= share;
  }
  return counts;
}

Shares MeanShares(const std::vector<Shares>& true_shares,
                  size_t from,
                  size_t to) {
  Shares mean(kExperts, 0.0);
  for (size_t tick = from; tick < std::min(to, true_shares.size()); ++tick) {
    for (uint32_t expert = 0; expert < kExperts; ++expert) {
      mean[expert] += true_shares[tick][expert];
    }
  }
  return Normalize(mean);
}

struct Workload {
  DriftKind drift = DriftKind::kSlow;
  Shape shape;
  uint32_t tokens = 0;
  std::vector<std::vector<Shares>> true_shares;

  Shares SharesAt(uint32_t layer, size_t tick) const {
    return this->true_shares[layer][tick];
  }
};

Workload MakeWorkload(DriftKind drift, Shape shape, uint32_t tokens) {
  Workload workload{
      .drift = drift, .shape = shape, .tokens = tokens, .true_shares = {}};
  for (uint64_t layer = 0; layer < kLayers; ++layer) {
    workload.true_shares.push_back(MakeTrueShares(drift, 100 + layer));
  }
  return workload;
}

RebalanceSettings SettingsFor(const Workload& workload, double skew_weight) {
  RebalanceSettings settings;
  settings.shape = workload.shape;
  settings.expert_bytes = kExpertBytes;
  settings.skew_weight = skew_weight;
  settings.tokens_per_step = workload.tokens;
  settings.loads_per_hour = kLoadsPerHour;
  return settings;
}

// A policy. At each decision it returns a placement to switch to, or none.
struct Policy {
  std::string name;
  std::function<
      std::optional<Plan>(Rebalancer&, const Workload&, size_t, TimePoint)>
      decide;
  double skew_weight = 0.5;
};

struct Figures {
  double mean = 0;
  double median = 0;
  double high = 0;
  double gigabytes = 0;
  uint32_t loads = 0;
  uint32_t undone = 0;
  double stalled_steps = 0;
};

// Counts copies that were added and removed again, or removed and added again,
// within an hour.
struct UndoCounter {
  std::map<std::tuple<uint32_t, uint32_t, uint32_t, bool>, TimePoint> changes;
  uint32_t undone = 0;

  void Count(const Placement& from,
             const Placement& to,
             bool is_load,
             TimePoint now) {
    for (const ExpertLoad& load : placement::LoadsBetween(from, to, 0)) {
      const auto opposite =
          this->changes.find({load.layer, load.expert, load.rank, !is_load});
      if (opposite != this->changes.end() &&
          now - opposite->second <= kUndoWindow) {
        ++this->undone;
      }
      this->changes[{load.layer, load.expert, load.rank, is_load}] = now;
    }
  }
};

double Quantile(std::vector<double>& values, double part) {
  const auto index =
      static_cast<size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

// Returns the skew of one sampled step: the load of each layer's slowest rank
// over the mean load, averaged over the layers, since a step runs them one
// after the other.
double SkewOfStep(const Rebalancer& rebalancer,
                  const Workload& workload,
                  const std::vector<std::vector<uint32_t>>& counts) {
  double slowest = 0;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    Shares shares(counts[layer].begin(), counts[layer].end());
    const auto loads = RankLoads(rebalancer.in_force.layers[layer],
                                 Normalize(shares), workload.shape.ranks);
    slowest += *std::max_element(loads.begin(), loads.end());
  }
  return slowest / kLayers;
}

Placement PackFor(const Workload& workload, const std::vector<Shares>& shares) {
  Placement packed;
  for (const Shares& one : shares) {
    packed.layers.push_back(PackLayer(one, workload.shape));
  }
  return packed;
}

std::vector<Shares> TrueShares(const Workload& workload,
                               size_t from,
                               size_t to) {
  std::vector<Shares> shares;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    shares.push_back(MeanShares(workload.true_shares[layer], from, to));
  }
  return shares;
}

std::vector<Shares> EstimatedShares(const Rebalancer& rebalancer) {
  std::vector<Shares> shares;
  for (const auto& popularity : rebalancer.popularity) {
    shares.push_back(EstimateShares(popularity));
  }
  return shares;
}

Figures Run(const Workload& workload, const Policy& policy) {
  std::mt19937_64 random(42);
  const size_t ticks = workload.true_shares[0].size();
  const size_t first_hour = hours(1) / kTick;
  // Every policy starts from the best placement for the first hour.
  Rebalancer rebalancer =
      StartRebalancer(SettingsFor(workload, policy.skew_weight),
                      PackFor(workload, TrueShares(workload, 0, first_hour)))
          .value();
  std::optional<Plan> pending;
  TimePoint ready_at;
  Figures figures;
  UndoCounter undo;
  std::vector<double> skews;
  for (size_t tick = 0; tick < ticks; ++tick) {
    const TimePoint now(hours(1) + tick * kTick);
    if (pending && now >= ready_at) {
      undo.Count(rebalancer.in_force, pending->placement, true, now);
      undo.Count(pending->placement, rebalancer.in_force, false, now);
      HandleSwitched(rebalancer, *pending, now);
      pending.reset();
      figures.stalled_steps += kStalledStepsOfSwitch;
    }
    std::vector<std::vector<uint32_t>> counts;
    for (uint32_t layer = 0; layer < kLayers; ++layer) {
      counts.push_back(
          SampleStep(workload.SharesAt(layer, tick), workload.tokens, random));
      ObserveLayer(rebalancer, layer, counts.back(), now);
    }
    skews.push_back(SkewOfStep(rebalancer, workload, counts));
    if (pending || (tick * kTick) % kDecisionInterval != Duration{}) {
      continue;
    }
    pending = policy.decide(rebalancer, workload, tick, now);
    if (pending) {
      const uint64_t bytes = pending->loads.size() * kExpertBytes;
      ready_at = now + seconds(bytes / (kStoreBytesPerSecond * kLayers) + 1);
      figures.loads += static_cast<uint32_t>(pending->loads.size());
      figures.stalled_steps +=
          kStalledStepsOfLoad * static_cast<double>(pending->loads.size());
    }
  }
  figures.mean = std::accumulate(skews.begin(), skews.end(), 0.0) /
                 static_cast<double>(skews.size());
  figures.median = Quantile(skews, 0.5);
  figures.high = Quantile(skews, 0.99);
  figures.gigabytes = figures.loads * (kExpertBytes / 1e9) / kLayers;
  figures.undone = undo.undone;
  return figures;
}

std::optional<Plan> PlanFor(const Rebalancer& rebalancer, Placement placement) {
  if (placement == rebalancer.in_force) {
    return std::nullopt;
  }
  Plan plan;
  plan.loads = LoadsBetween(rebalancer.in_force, placement, kExpertBytes);
  plan.placement = std::move(placement);
  return plan;
}

Policy Never() {
  return {"never", [](Rebalancer&, const Workload&, size_t, TimePoint) {
            return std::optional<Plan>();
          }};
}

Policy AlwaysRepack() {
  return {
      "always, packed afresh",
      [](Rebalancer& rebalancer, const Workload& workload, size_t, TimePoint) {
        return PlanFor(rebalancer,
                       PackFor(workload, EstimatedShares(rebalancer)));
      }};
}

// Improves all layers at no cost, by at most `max_loads` loads each.
std::optional<Plan> ImproveAll(const Rebalancer& rebalancer,
                               const Workload& workload,
                               const std::vector<Shares>& shares) {
  Placement placement = rebalancer.in_force;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    LayerPlacement& one = placement.layers[layer];
    for (const auto& change :
         ImproveLayer(one, shares[layer], workload.shape, {})) {
      Apply(one, change);
    }
  }
  return PlanFor(rebalancer, std::move(placement));
}

Policy AlwaysIncremental() {
  return {
      "always, few changes",
      [](Rebalancer& rebalancer, const Workload& workload, size_t, TimePoint) {
        return (ImproveAll(rebalancer, workload, EstimatedShares(rebalancer)));
      }};
}

Policy Threshold(double threshold) {
  char name[64];
  std::snprintf(name, sizeof name, "threshold %.2f, packed afresh", threshold);
  return {name, [threshold](Rebalancer& rebalancer, const Workload& workload,
                            size_t, TimePoint) {
            const std::vector<Shares> shares = EstimatedShares(rebalancer);
            double slowest = 0;
            for (uint32_t layer = 0; layer < kLayers; ++layer) {
              const auto loads = RankLoads(rebalancer.in_force.layers[layer],
                                           shares[layer], workload.shape.ranks);
              slowest += *std::max_element(loads.begin(), loads.end());
            }
            if (slowest / kLayers < threshold) {
              return std::optional<Plan>();
            }
            return PlanFor(rebalancer, PackFor(workload, shares));
          }};
}

Policy Weighted(double skew_weight) {
  char name[32];
  std::snprintf(name, sizeof name, "skew_weight %.2f", skew_weight);
  return {name,
          [](Rebalancer& rebalancer, const Workload&, size_t, TimePoint now) {
            return ProposePlan(rebalancer, now).plan;
          },
          skew_weight};
}

// Uses the true popularity of the next hour instead of an estimate, with the
// costs of a skew_weight.
Policy HourOracle(double skew_weight) {
  return {"oracle, next hour, 0.80",
          [](Rebalancer& rebalancer, const Workload& workload, size_t tick,
             TimePoint now) {
            constexpr double kCertain = 1e12;
            const auto shares =
                TrueShares(workload, tick, tick + hours(1) / kTick);
            for (uint32_t layer = 0; layer < kLayers; ++layer) {
              auto& popularity = rebalancer.popularity[layer];
              popularity.tokens = shares[layer];
              popularity.total = 1;
              popularity.squared_total = 1 / kCertain;
            }
            return ProposePlan(rebalancer, now).plan;
          },
          skew_weight};
}

// Uses the true popularity of the next 5 minutes and moves experts at no cost:
// a lower bound of the skew.
Policy MinutesOracle() {
  return {"oracle, next 5 min, free",
          [](Rebalancer& rebalancer, const Workload& workload, size_t tick,
             TimePoint) {
            return std::optional(ImproveAll(
                rebalancer, workload,
                TrueShares(workload, tick, tick + minutes(5) / kTick)));
          }};
}

void PrintSpareSlots() {
  std::printf(
      "\nSlots decide: expected skew of a step after a fresh packing "
      "for known Zipf shares, 64 experts\n");
  std::printf("%5s %5s %5s | %8s | %11s %11s | %12s %12s\n", "ranks", "slots",
              "spare", "no noise", "2048 tokens", "its floor", "16384 tokens",
              "its floor");
  for (const auto& [ranks, first_slots] :
       {std::pair{16U, 4U}, std::pair{32U, 2U}}) {
    for (uint32_t slots = first_slots; slots < first_slots + 4; ++slots) {
      std::mt19937_64 random(1);
      const Shares shares = ZipfShares(random);
      const auto loads =
          RankLoads(PackLayer(shares, {ranks, slots}), shares, ranks);
      const std::vector<double> even(ranks, 1.0);
      std::printf("%5u %5u %5u | %8.2f | %11.2f %11.2f | %12.2f %12.2f\n",
                  ranks, slots, ranks * slots - kExperts,
                  *std::max_element(loads.begin(), loads.end()),
                  ExpectedSkew(loads, 2048), ExpectedSkew(even, 2048),
                  ExpectedSkew(loads, 16384), ExpectedSkew(even, 16384));
    }
  }
}

void PrintRow(const std::string& name, const Figures& figures) {
  std::printf("%-30s %6.3f %6.3f %6.3f %8.2f %6u %6u %8.1f\n", name.c_str(),
              figures.mean, figures.median, figures.high, figures.gigabytes,
              figures.loads, figures.undone, figures.stalled_steps);
}

void PrintHeader() {
  std::printf("%-30s %6s %6s %6s %8s %6s %6s %8s\n", "policy", "mean", "p50",
              "p99", "GB/layer", "loads", "undone", "stalled");
}

void PrintPolicies(const Workload& workload) {
  const std::vector<double> even(workload.shape.ranks, 1.0);
  std::printf("\n%s, %u ranks with %u slots, %u tokens a step; floor %.3f\n",
              NameOf(workload.drift), workload.shape.ranks,
              workload.shape.slots_per_rank, workload.tokens,
              ExpectedSkew(even, workload.tokens));
  PrintHeader();
  for (const Policy& policy :
       {Never(), AlwaysRepack(), AlwaysIncremental(), Threshold(1.2),
        Weighted(0.2), Weighted(0.8), HourOracle(0.8), MinutesOracle()}) {
    PrintRow(policy.name, Run(workload, policy));
  }
}

// Prints one block per drift for gnuplot, with the columns weight, mean skew,
// p99, gigabytes, undone copies and stalled steps.
void PrintCurve(Shape shape, uint32_t tokens) {
  std::printf("\nTrade-off curve, %u ranks with %u slots, %u tokens a step\n",
              shape.ranks, shape.slots_per_rank, tokens);
  for (const DriftKind drift : kDrifts) {
    const Workload workload = MakeWorkload(drift, shape, tokens);
    std::printf("# curve: %s\n", NameOf(drift));
    for (const double weight : {0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6,
                                0.7, 0.8, 0.9, 0.95, 0.99, 1.0}) {
      const Figures figures = Run(workload, Weighted(weight));
      std::printf("%.2f %.4f %.4f %.3f %u %.1f\n", weight, figures.mean,
                  figures.high, figures.gigabytes, figures.undone,
                  figures.stalled_steps);
    }
    std::printf("\n\n");
  }
}

void Main() {
  PrintSpareSlots();
  for (const Shape shape : {Shape{16, 6}, Shape{32, 3}}) {
    for (const uint32_t tokens : {2048U, 16384U}) {
      for (const DriftKind drift : kDrifts) {
        PrintPolicies(MakeWorkload(drift, shape, tokens));
      }
    }
  }
  PrintCurve({32, 3}, 16384);
}

}  // namespace

}  // namespace bramleyspan

int main() {
  bramleyspan::Main();
}
