#include "LibGateway/Permits.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace bramleyspan::gateway {

namespace {

// Streams per rank before any passes have been observed.
constexpr double kInitialStreamsPerRank = 5;
constexpr double kMinStreamsPerRank = 2;
// The fraction of the longest pause at which the pause quantile is held, so
// that longer pauses stay within the limit too.
constexpr double kDesiredPauseFraction = 0.85;
// The quantile of the pauses that the limit is adjusted by: 9 of 10 pauses are
// no longer.
constexpr double kPauseQuantile = 0.9;
constexpr size_t kMinPauseSamples = 12;
constexpr size_t kMaxPauseSamples = 4096;
constexpr double kMaxAdjustmentFactor = 1.04;
constexpr double kMinAdjustmentFactor = 0.9;
constexpr double kGain = 0.25;
// A pause of at least this percentage of the longest one stops new streams to
// the group for kOverloadCooldown.
constexpr int kOverloadPausePercent = 85;
constexpr Duration kRejectionCooldown = std::chrono::milliseconds(150);
constexpr Duration kOverloadCooldown = std::chrono::milliseconds(100);
// Gateways that each stay within their share may together exceed the limit by
// this factor while others end streams beyond their own share.
constexpr double kOvercommitFactor = 1.1;
// Upper bound of the random part of a rank's cost, in streams.
constexpr double kJitter = 1.0;
// A limit is raised only if at least this fraction of it is used: the short
// passes of an idle group do not show how long those of a full group are.
constexpr double kMinUsedFraction = 0.75;

struct GroupLoad {
  uint32_t ranks = 0;
  uint32_t own = 0;
  uint32_t total = 0;
  bool is_open = true;
};

using GroupLoads = std::map<std::string, GroupLoad>;

GroupLoads CountLoads(const TargetTable& targets, std::string_view service) {
  GroupLoads loads;
  ForEachUsable(targets, service, {}, [&loads](const TargetView& view) {
    GroupLoad& load = loads[GroupOf(view)];
    ++load.ranks;
    load.own += view.open;
    load.total += view.load();
    if (view.rank && !view.rank->is_open) {
      load.is_open = false;
    }
  });
  return loads;
}

GroupPermits& PermitsOf(Permits& permits, const std::string& group) {
  GroupPermits& found = permits.groups[group];
  if (found.streams_per_rank == 0) {
    found.streams_per_rank = kInitialStreamsPerRank;
  }
  return found;
}

// Whether this gateway may start another stream in the group.
bool has_permit(const GroupPermits& group,
                const GroupLoad& load,
                const Sharing& sharing) {
  const auto own = static_cast<double>(load.own);
  const auto total = static_cast<double>(load.total);
  const double limit = LimitOf(group, load.ranks);
  const double share = limit / static_cast<double>(sharing.gateways);
  // Shares are fractions of a stream; what remains of the limit may be used by
  // any gateway that sees it unused.
  if (own + 1 <= share) {
    return total + 1 <= limit * kOvercommitFactor;
  }
  // Beyond its share, a gateway may use what the others leave, less one permit
  // for each other gateway with waiting requests: it may have started a stream
  // that it has not reported yet.
  return total + 1 + static_cast<double>(sharing.others_waiting) <= limit;
}

// Draws a group that has a permit left, weighted by the square of its unused
// permits. Returns an empty name if there is none.
std::string DrawGroup(Permits& permits,
                      const GroupLoads& loads,
                      const Sharing& sharing,
                      std::minstd_rand& random,
                      TimePoint now) {
  constexpr double kMinRoom = 0.5;
  std::vector<std::pair<std::string, double>> rooms;
  double sum = 0;
  for (const auto& [name, load] : loads) {
    const GroupPermits& group = PermitsOf(permits, name);
    const bool is_cooling_down =
        now - group.overloaded_at < kOverloadCooldown ||
        now - group.rejected_at < kRejectionCooldown;
    if (!load.is_open || is_cooling_down || !has_permit(group, load, sharing)) {
      continue;
    }
    const double room = LimitOf(group, load.ranks) - load.total;
    rooms.emplace_back(name, std::max(kMinRoom, room * room));
    sum += rooms.back().second;
  }
  double drawn = std::uniform_real_distribution<double>(0, sum)(random);
  for (const auto& [name, room] : rooms) {
    drawn -= room;
    if (drawn <= 0) {
      return name;
    }
  }
  return rooms.empty() ? "" : rooms.back().first;
}

}  // namespace

double LimitOf(const GroupPermits& group, uint32_t ranks) {
  return group.streams_per_rank * ranks;
}

std::string GroupOf(const TargetView& view) {
  if (view.rank && !view.rank->group.empty()) {
    return view.rank->group;
  }
  return "service:" + view.target.service;
}

const TargetView* ChooseTargetWithPermit(Permits& permits,
                                         const TargetTable& targets,
                                         const Service& service,
                                         const Sharing& sharing,
                                         const std::set<std::string>& excluded,
                                         uint64_t random_bits,
                                         TimePoint now) {
  std::minstd_rand random(static_cast<uint32_t>(random_bits));
  const std::string group = DrawGroup(
      permits, CountLoads(targets, service.name), sharing, random, now);
  std::uniform_real_distribution<double> jitter(0, kJitter);
  const TargetView* best = nullptr;
  double best_cost = 0;
  ForEachAdmitting(
      targets, service.name, excluded, now, [&](const TargetView& view) {
        if (group.empty() || GroupOf(view) != group ||
            view.load() >= std::max<uint32_t>(1, view.target.slots)) {
          return;
        }
        const double pace = view.rank ? std::max(1.0, view.rank->pace) : 1;
        const double cost = (view.load() + 1) * pace + FailureScore(view, now) +
                            (view.avoided_until > now ? 1000.0 : 0.0) +
                            jitter(random);
        if (best == nullptr || cost < best_cost) {
          best = &view;
          best_cost = cost;
        }
      });
  return best;
}

void RecordPause(Permits& permits,
                 const std::string& group,
                 Duration pause,
                 Duration longest_pause,
                 TimePoint now) {
  GroupPermits& recorded = permits.groups[group];
  if (recorded.pauses.size() < kMaxPauseSamples) {
    recorded.pauses.push_back(pause);
  }
  if (pause >= longest_pause * kOverloadPausePercent / 100) {
    recorded.overloaded_at = now;
  }
}

void RecordRejection(Permits& permits,
                     const std::string& group,
                     TimePoint now) {
  permits.groups[group].rejected_at = now;
}

void AdjustLimits(Permits& permits,
                  const TargetTable& targets,
                  const Service& service,
                  Duration longest_pause) {
  const GroupLoads loads = CountLoads(targets, service.name);
  for (const auto& [name, load] : loads) {
    GroupPermits& group = PermitsOf(permits, name);
    if (group.pauses.size() < kMinPauseSamples) {
      continue;
    }
    const auto at =
        group.pauses.begin() +
        static_cast<int64_t>(kPauseQuantile *
                             static_cast<double>(group.pauses.size() - 1));
    std::nth_element(group.pauses.begin(), at, group.pauses.end());
    group.pause_quantile = *at;
    group.pauses.clear();
    const double desired =
        kDesiredPauseFraction * static_cast<double>(longest_pause.count());
    const double headroom =
        (desired - static_cast<double>(group.pause_quantile.count())) / desired;
    double factor = std::clamp(1 + kGain * headroom, kMinAdjustmentFactor,
                               kMaxAdjustmentFactor);
    const bool is_used = static_cast<double>(load.total) >=
                         kMinUsedFraction * LimitOf(group, load.ranks);
    if (factor > 1 && !is_used) {
      factor = 1;
    }
    const double highest = std::max(1.0, 0.7 * service.engine->slots);
    group.streams_per_rank =
        std::clamp(group.streams_per_rank * factor,
                   std::min(highest, kMinStreamsPerRank), highest);
  }
  std::erase_if(permits.groups, [&loads](const auto& item) {
    return !loads.contains(item.first);
  });
}

}  // namespace bramleyspan::gateway
