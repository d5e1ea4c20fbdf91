// Placement of experts under synthetic drift: how much the slowest rank lags
// and what moving experts costs, for several policies, with fixed seeds.
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
// Layers that are simulated of a model with sixty; all figures are per layer.
constexpr uint32_t kLayers = 3;
constexpr uint64_t kExpertBytes = 44'000'000;
constexpr size_t kLoadsPerHour = size_t{64} * kLayers;
// A layer's part of a weight store that gives a group 1.2 GB/s.
constexpr uint64_t kStoreBytesPerSecond = 20'000'000;
constexpr Duration kTick = seconds(10);
constexpr Duration kDecisionInterval = minutes(1);
constexpr Duration kLength = hours(6);
constexpr Duration kUndoWindow = hours(1);
// Steps that a group loses in a switch of its map, and for each copy that a
// rank takes in while it goes on stepping.
constexpr double kStalledStepsOfSwitch = 2;
constexpr double kStalledStepsOfLoad = 0.2;

enum class Drift { kSlow, kSwap, kSurge, kNoise };

constexpr Drift kDrifts[] = {Drift::kSlow, Drift::kSwap, Drift::kSurge,
                             Drift::kNoise};

const char* NameOf(Drift drift) {
  switch (drift) {
    case Drift::kSlow:
      return "slow drift";
    case Drift::kSwap:
      return "sudden swap";
    case Drift::kSurge:
      return "night before term";
    case Drift::kNoise:
      return "noise, no drift";
  }
  return "";
}

double HoursOf(Duration duration) {
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

// How far popularity has gone over to the other topic at a time.
double BlendAt(Drift drift, Duration at) {
  const double hour = HoursOf(at);
  switch (drift) {
    case Drift::kSlow:
      return hour / HoursOf(kLength);
    case Drift::kSwap:
      return hour < 2 ? 0 : 1;
    case Drift::kSurge: {
      // Up within twenty minutes, two hours of crowd, down again.
      const double up = std::clamp((hour - 2) * 3, 0.0, 1.0);
      const double down = std::clamp((hour - 4.33) * 3, 0.0, 1.0);
      return 0.7 * (up - down);
    }
    case Drift::kNoise:
      return 0;
  }
  return 0;
}

// The true shares of a layer at each tick. They waver around the drift, each
// expert for itself, with a correlation time of two minutes.
std::vector<Shares> MakeTruth(Drift drift, uint64_t seed) {
  constexpr double kWaver = 0.15;
  const double keep = std::exp(-HoursOf(kTick) / HoursOf(minutes(2)));
  std::mt19937_64 random(seed);
  std::normal_distribution<double> normal;
  const Shares before = ZipfShares(random);
  const Shares after = ZipfShares(random);
  std::vector<double> waver(kExperts, 0.0);
  std::vector<Shares> truth;
  for (Duration at{}; at < kLength; at += kTick) {
    Shares shares = Blend(before, after, BlendAt(drift, at));
    for (uint32_t expert = 0; expert < kExperts; ++expert) {
      waver[expert] = waver[expert] * keep +
                      kWaver * std::sqrt(1 - keep * keep) * normal(random);
      shares[expert] *= std::exp(waver[expert]);
    }
    truth.push_back(Normalize(shares));
  }
  return truth;
}

// A multinomial sample by a chain of binomials.
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

Shares MeanShares(const std::vector<Shares>& truth, size_t from, size_t to) {
  Shares mean(kExperts, 0.0);
  for (size_t tick = from; tick < std::min(to, truth.size()); ++tick) {
    for (uint32_t expert = 0; expert < kExperts; ++expert) {
      mean[expert] += truth[tick][expert];
    }
  }
  return Normalize(mean);
}

struct World {
  Drift drift = Drift::kSlow;
  Shape shape;
  uint32_t tokens = 0;
  std::vector<std::vector<Shares>> truth;

  Shares SharesAt(uint32_t layer, size_t tick) const {
    return this->truth[layer][tick];
  }
};

World MakeWorld(Drift drift, Shape shape, uint32_t tokens) {
  World world{.drift = drift, .shape = shape, .tokens = tokens, .truth = {}};
  for (uint64_t layer = 0; layer < kLayers; ++layer) {
    world.truth.push_back(MakeTruth(drift, 100 + layer));
  }
  return world;
}

RebalanceSettings SettingsFor(const World& world, double skew_weight) {
  RebalanceSettings settings;
  settings.shape = world.shape;
  settings.expert_bytes = kExpertBytes;
  settings.skew_weight = skew_weight;
  settings.tokens_per_step = world.tokens;
  settings.loads_per_hour = kLoadsPerHour;
  return settings;
}

// What a policy does at each decision: a placement to switch to, or none.
struct Decider {
  std::string name;
  std::function<
      std::optional<Plan>(Rebalancer&, const World&, size_t, TimePoint)>
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

// Finds copies that came and went again, or went and came again, in an hour.
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

// The skew of one sampled step: over the layers, the slowest ranks' loads over
// the mean loads, as all layers of a step follow each other.
double SkewOfStep(const Rebalancer& rebalancer,
                  const World& world,
                  const std::vector<std::vector<uint32_t>>& counts) {
  double slowest = 0;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    Shares shares(counts[layer].begin(), counts[layer].end());
    const auto loads = RankLoads(rebalancer.in_force.layers[layer],
                                 Normalize(shares), world.shape.ranks);
    slowest += *std::max_element(loads.begin(), loads.end());
  }
  return slowest / kLayers;
}

Placement PackFor(const World& world, const std::vector<Shares>& shares) {
  Placement packed;
  for (const Shares& one : shares) {
    packed.layers.push_back(PackLayer(one, world.shape));
  }
  return packed;
}

std::vector<Shares> TrueShares(const World& world, size_t from, size_t to) {
  std::vector<Shares> shares;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    shares.push_back(MeanShares(world.truth[layer], from, to));
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

Figures Run(const World& world, const Decider& decider) {
  std::mt19937_64 random(42);
  const size_t ticks = world.truth[0].size();
  const size_t first_hour = hours(1) / kTick;
  // Every policy starts from the best placement for the first hour.
  Rebalancer rebalancer =
      StartRebalancer(SettingsFor(world, decider.skew_weight),
                      PackFor(world, TrueShares(world, 0, first_hour)))
          .value();
  std::optional<Plan> underway;
  TimePoint ready_at;
  Figures figures;
  UndoCounter undo;
  std::vector<double> skews;
  for (size_t tick = 0; tick < ticks; ++tick) {
    const TimePoint now(hours(1) + tick * kTick);
    if (underway && now >= ready_at) {
      undo.Count(rebalancer.in_force, underway->placement, true, now);
      undo.Count(underway->placement, rebalancer.in_force, false, now);
      HandleSwitched(rebalancer, *underway, now);
      underway.reset();
      figures.stalled_steps += kStalledStepsOfSwitch;
    }
    std::vector<std::vector<uint32_t>> counts;
    for (uint32_t layer = 0; layer < kLayers; ++layer) {
      counts.push_back(
          SampleStep(world.SharesAt(layer, tick), world.tokens, random));
      ObserveLayer(rebalancer, layer, counts.back(), now);
    }
    skews.push_back(SkewOfStep(rebalancer, world, counts));
    if (underway || (tick * kTick) % kDecisionInterval != Duration{}) {
      continue;
    }
    underway = decider.decide(rebalancer, world, tick, now);
    if (underway) {
      const uint64_t bytes = underway->loads.size() * kExpertBytes;
      ready_at = now + seconds(bytes / (kStoreBytesPerSecond * kLayers) + 1);
      figures.loads += static_cast<uint32_t>(underway->loads.size());
      figures.stalled_steps +=
          kStalledStepsOfLoad * static_cast<double>(underway->loads.size());
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

Decider Never() {
  return {"never", [](Rebalancer&, const World&, size_t, TimePoint) {
            return std::optional<Plan>();
          }};
}

Decider AlwaysFresh() {
  return {"always, packed afresh",
          [](Rebalancer& rebalancer, const World& world, size_t, TimePoint) {
            return PlanFor(rebalancer,
                           PackFor(world, EstimatedShares(rebalancer)));
          }};
}

// Improves all layers without a price, by at most `max_loads` each.
std::optional<Plan> ImproveAll(const Rebalancer& rebalancer,
                               const World& world,
                               const std::vector<Shares>& shares) {
  Placement placement = rebalancer.in_force;
  for (uint32_t layer = 0; layer < kLayers; ++layer) {
    LayerPlacement& one = placement.layers[layer];
    for (const auto& change :
         ImproveLayer(one, shares[layer], world.shape, {})) {
      Apply(one, change);
    }
  }
  return PlanFor(rebalancer, std::move(placement));
}

Decider AlwaysIncremental() {
  return {"always, few changes",
          [](Rebalancer& rebalancer, const World& world, size_t, TimePoint) {
            return (ImproveAll(rebalancer, world, EstimatedShares(rebalancer)));
          }};
}

Decider Threshold(double threshold) {
  char name[64];
  std::snprintf(name, sizeof name, "threshold %.2f, packed afresh", threshold);
  return {name, [threshold](Rebalancer& rebalancer, const World& world, size_t,
                            TimePoint) {
            const std::vector<Shares> shares = EstimatedShares(rebalancer);
            double slowest = 0;
            for (uint32_t layer = 0; layer < kLayers; ++layer) {
              const auto loads = RankLoads(rebalancer.in_force.layers[layer],
                                           shares[layer], world.shape.ranks);
              slowest += *std::max_element(loads.begin(), loads.end());
            }
            if (slowest / kLayers < threshold) {
              return std::optional<Plan>();
            }
            return PlanFor(rebalancer, PackFor(world, shares));
          }};
}

Decider Weighted(double skew_weight) {
  char name[32];
  std::snprintf(name, sizeof name, "skew_weight %.2f", skew_weight);
  return {name,
          [](Rebalancer& rebalancer, const World&, size_t, TimePoint now) {
            return ProposePlan(rebalancer, now).plan;
          },
          skew_weight};
}

// Knows the true popularity of the next hour instead of an estimate and pays
// the prices of a skew_weight.
Decider OracleOfTheHour(double skew_weight) {
  return {"oracle, next hour, 0.80",
          [](Rebalancer& rebalancer, const World& world, size_t tick,
             TimePoint now) {
            constexpr double kCertain = 1e12;
            const auto shares =
                TrueShares(world, tick, tick + hours(1) / kTick);
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

// Knows the next minutes and moves at no price: the least skew there is.
Decider OracleOfTheMinute() {
  return {
      "oracle, next 5 min, free",
      [](Rebalancer& rebalancer, const World& world, size_t tick, TimePoint) {
        return std::optional(
            ImproveAll(rebalancer, world,
                       TrueShares(world, tick, tick + minutes(5) / kTick)));
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

void PrintHead() {
  std::printf("%-30s %6s %6s %6s %8s %6s %6s %8s\n", "policy", "mean", "p50",
              "p99", "GB/layer", "loads", "undone", "stalled");
}

void PrintPolicies(const World& world) {
  const std::vector<double> even(world.shape.ranks, 1.0);
  std::printf("\n%s, %u ranks with %u slots, %u tokens a step; floor %.3f\n",
              NameOf(world.drift), world.shape.ranks,
              world.shape.slots_per_rank, world.tokens,
              ExpectedSkew(even, world.tokens));
  PrintHead();
  for (const Decider& decider : {Never(), AlwaysFresh(), AlwaysIncremental(),
                                 Threshold(1.2), Weighted(0.2), Weighted(0.8),
                                 OracleOfTheHour(0.8), OracleOfTheMinute()}) {
    PrintRow(decider.name, Run(world, decider));
  }
}

// One block per drift, for gnuplot: weight, mean skew, p99, gigabytes.
void PrintCurve(Shape shape, uint32_t tokens) {
  std::printf("\nTrade-off curve, %u ranks with %u slots, %u tokens a step\n",
              shape.ranks, shape.slots_per_rank, tokens);
  for (const Drift drift : kDrifts) {
    const World world = MakeWorld(drift, shape, tokens);
    std::printf("# curve: %s\n", NameOf(drift));
    for (const double weight : {0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6,
                                0.7, 0.8, 0.9, 0.95, 0.99, 1.0}) {
      const Figures figures = Run(world, Weighted(weight));
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
      for (const Drift drift : kDrifts) {
        PrintPolicies(MakeWorld(drift, shape, tokens));
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
