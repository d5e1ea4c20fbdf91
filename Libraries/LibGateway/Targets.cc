#include "LibGateway/Targets.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "LibGateway/RateLimits.h"

namespace bramleyspan::gateway {

namespace {

// Time in which the weight of a failure halves.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
// An unreachable target is avoided for this time, then tried again.
constexpr Duration kAvoidDuration = std::chrono::milliseconds(1500);
// The load that one recent failure counts as, as a fraction of all slots.
constexpr double kFailureWeight = 0.6;
// Additional load of a target in another availability zone, as a fraction of
// all slots.
constexpr double kOtherZoneWeight = 0.02;
constexpr double kJitterWeight = 0.01;
// Factor on the failure count after each request that did not fail.
constexpr double kSuccessDecay = 0.9;
// Time for which the signals of a target are kept that is not listed.
constexpr Duration kSignalsLifetime = std::chrono::minutes(1);

double JitterOf(uint64_t bits, const std::string& id) {
  const uint64_t mixed =
      bits ^ (std::hash<std::string>{}(id)*0x9E3779B97F4A7C15ULL);
  return static_cast<double>(mixed % 1024) / 1024;
}

// Whether the target, if it is the newest at its address, replaces the others.
bool may_replace(const TargetTable& table, const TargetView& view) {
  return !view.is_misdirected &&
         (!table.services || table.services->contains(view.target.service));
}

// Finds out anew which targets at this address are replaced.
void UpdateReplaced(TargetTable& table, const Address& address) {
  std::vector<TargetView*> views;
  uint64_t newest = 0;
  for (auto& [id, view] : table.by_id) {
    if (view.target.address == address) {
      views.push_back(&view);
      if (may_replace(table, view)) {
        newest = std::max(newest, view.target.revision);
      }
    }
  }
  for (TargetView* view : views) {
    view->is_replaced = view->is_misdirected || view->target.revision < newest;
  }
}

}  // namespace

void ApplyTarget(TargetTable& table, Target target) {
  const std::string id = target.id;
  const auto signals = table.signals.find(id);
  if (signals != table.signals.end()) {
    Leaving& leaving = signals->second.leaving;
    if (target.is_leaving) {
      leaving.is_listed = true;
    } else if (leaving.is_listed) {
      leaving = {};
    }
  }
  TargetView& view = table.by_id[id];
  const Address last_address = view.target.address;
  view.is_misdirected = false;
  view.target = std::move(target);
  UpdateReplaced(table, view.target.address);
  if (last_address != view.target.address) {
    UpdateReplaced(table, last_address);
  }
}

void ApplyServices(TargetTable& table, std::set<std::string> services) {
  if (table.services == services) {
    return;
  }
  table.services = std::move(services);
  std::set<Address> addresses;
  for (const auto& [id, view] : table.by_id) {
    addresses.insert(view.target.address);
  }
  for (const Address& address : addresses) {
    UpdateReplaced(table, address);
  }
}

void RemoveTarget(TargetTable& table, const std::string& id) {
  const auto found = table.by_id.find(id);
  if (found != table.by_id.end()) {
    const Address address = found->second.target.address;
    table.by_id.erase(found);
    UpdateReplaced(table, address);
  }
  const auto signals = table.signals.find(id);
  if (signals != table.signals.end()) {
    signals->second.leaving.is_listed = true;
  }
}

bool ApplyWarmUp(TargetTable& table,
                 const std::string& id,
                 double warm_up_rate,
                 TimePoint now) {
  const auto view = table.by_id.find(id);
  if (view == table.by_id.end()) {
    return false;
  }
  const TimePoint cold_until = view->second.target.cold_until;
  const bool is_cold = warm_up_rate > 0 && now < cold_until;
  if (!is_cold && !table.signals.contains(id)) {
    return false;
  }
  RateLimit& limit = table.signals[id].rate_limit;
  const bool was_cold = limit.warm_up_rate > 0 && now < limit.cold_until;
  SetWarmUp(limit, warm_up_rate, cold_until, now);
  return is_cold && !was_cold;
}

bool RecordLeaving(TargetTable& table, const std::string& id, TimePoint now) {
  Leaving& leaving = table.signals[id].leaving;
  if (leaving.is_announced) {
    return false;
  }
  const auto view = table.by_id.find(id);
  const bool is_listed =
      view == table.by_id.end() || view->second.target.is_leaving;
  leaving = {.is_announced = true, .since = now, .is_listed = is_listed};
  return true;
}

bool has_announced_leaving(const TargetTable& table, const std::string& id) {
  const auto found = table.signals.find(id);
  return found != table.signals.end() && found->second.leaving.is_announced;
}

bool is_staying(const TargetTable& table, const TargetView& view) {
  return !view.target.is_leaving && !view.is_replaced &&
         !has_announced_leaving(table, view.target.id);
}

bool is_usable(const TargetTable& table, const TargetView& view) {
  return is_staying(table, view) &&
         !is_evacuated(table.evacuated, view.target.zone);
}

bool has_only_evacuated_targets(const TargetTable& table,
                                std::string_view service) {
  if (table.evacuated.by_name.empty()) {
    return false;
  }
  bool has_targets = false;
  for (const auto& [id, view] : table.by_id) {
    if (view.target.service != service || !is_staying(table, view)) {
      continue;
    }
    if (!is_evacuated(table.evacuated, view.target.zone)) {
      return false;
    }
    has_targets = true;
  }
  return has_targets;
}

void RemoveOldSignals(TargetTable& table, TimePoint now) {
  std::erase_if(table.signals, [&table, now](const auto& item) {
    const TimePoint last =
        std::max({item.second.rate_limit.confirmed_at,
                  item.second.backoff.until, item.second.leaving.since});
    return !table.by_id.contains(item.first) && now - last > kSignalsLifetime;
  });
}

double FailureScore(const TargetView& view, TimePoint now) {
  if (view.failures == 0) {
    return 0;
  }
  const double age = std::chrono::duration<double>(now - view.failures_at) /
                     std::chrono::duration<double>(kFailureHalfLife);
  return view.failures * std::exp2(-std::max(0.0, age));
}

void RecordOutcome(TargetTable& table,
                   const std::string& id,
                   Outcome outcome,
                   TimePoint now) {
  const auto found = table.by_id.find(id);
  if (found == table.by_id.end()) {
    return;
  }
  TargetView& view = found->second;
  view.failures = FailureScore(view, now);
  view.failures_at = now;
  switch (outcome) {
    case Outcome::kGood:
      view.failures *= kSuccessDecay;
      return;
    case Outcome::kFailed:
      view.failures += 1;
      return;
    case Outcome::kBackedOff:
      return;
    case Outcome::kMisdirected:
      view.is_misdirected = true;
      UpdateReplaced(table, view.target.address);
      return;
    case Outcome::kUnreachable:
      view.failures += 1;
      view.avoided_until = now + kAvoidDuration;
      return;
  }
}

void ForEachUsable(const TargetTable& table,
                   std::string_view service,
                   const std::set<std::string>& excluded,
                   const TargetVisitor& visit) {
  for (const auto& [id, view] : table.by_id) {
    if (view.target.service == service && is_usable(table, view) &&
        !excluded.contains(id)) {
      visit(view);
    }
  }
}

size_t CountUsable(const TargetTable& table, std::string_view service) {
  size_t count = 0;
  ForEachUsable(table, service, {}, [&count](const TargetView&) { ++count; });
  return count;
}

TimePoint HeldUntil(const TargetTable& table,
                    const std::string& target,
                    TimePoint now) {
  const auto found = table.signals.find(target);
  return found == table.signals.end()
             ? now
             : std::max(RateHeldUntil(found->second.rate_limit, now),
                        limits::BackoffHeldUntil(found->second.backoff));
}

void ForEachAdmitting(const TargetTable& table,
                      std::string_view service,
                      const std::set<std::string>& excluded,
                      TimePoint now,
                      const TargetVisitor& visit) {
  ForEachUsable(table, service, excluded, [&](const TargetView& view) {
    if (HeldUntil(table, view.target.id, now) <= now) {
      visit(view);
    }
  });
}

bool is_any_open(const TargetTable& table, std::string_view service) {
  bool is_any = false;
  ForEachUsable(table, service, {}, [&is_any](const TargetView& view) {
    is_any = is_any || (view.rank && view.rank->is_open);
  });
  return is_any;
}

const TargetView* ChooseLeastLoaded(const TargetTable& table,
                                    std::string_view service,
                                    const std::set<std::string>& excluded,
                                    std::string_view own_zone,
                                    uint64_t random_bits,
                                    TimePoint now) {
  const TargetView* best = nullptr;
  double best_cost = 0;
  ForEachAdmitting(table, service, excluded, now, [&](const TargetView& view) {
    double cost = static_cast<double>(view.load()) /
                  std::max<uint32_t>(1, view.target.slots);
    cost += kFailureWeight * FailureScore(view, now);
    cost += view.target.zone == own_zone ? 0 : kOtherZoneWeight;
    cost += kJitterWeight * JitterOf(random_bits, view.target.id);
    // Avoided targets come last but are not excluded: if all were unreachable a
    // moment ago, one of them may answer again.
    cost += view.avoided_until > now ? 1000 : 0;
    if (best == nullptr || cost < best_cost) {
      best = &view;
      best_cost = cost;
    }
  });
  return best;
}

}  // namespace bramleyspan::gateway
