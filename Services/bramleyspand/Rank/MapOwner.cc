#include "Services/bramleyspand/Rank/MapOwner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"
#include "Services/bramleyspand/Rank/RankMessages.h"

namespace bramleyspan::rankd {

namespace {

using mapswitch::MapSwitch;
using mapswitch::SwitchPhase;
using telemetry::Log;
using telemetry::LogLevel;

constexpr telemetry::MetricName kSkew{
    "bramleyspan_rank_skew",
    "Load of the most loaded rank over the mean, mean of the sets."};
constexpr telemetry::MetricName kMapSwitches{"bramleyspan_map_switches_total",
                                             "Switches of the expert map."};
constexpr telemetry::MetricName kExpertCopies{
    "bramleyspan_expert_copies_total", "Copies of experts that were ordered."};

// A map in preparation is replaced if its skew is this much above what was
// planned.
constexpr double kOutdatedBy = 0.35;

std::string Rounded(double value) {
  constexpr double kHundredths = 100;
  return std::to_string(static_cast<int>(value * kHundredths) / kHundredths)
      .substr(0, 4);
}

// The map in force, set by set and rank by rank; nothing while a rank has not
// told what it holds under it. One that was switched to from here is known
// before the ranks can tell.
std::optional<mapswitch::ExpertLists> MapInForce(const RankState& state) {
  const mapswitch::RankStatus& own = *state.own;
  const mapswitch::Wish& wish = state.map_switch.wish;
  if (wish.epoch == own.epoch && wish.version == own.map &&
      wish.map.size() == state.shape->sets) {
    return wish.map;
  }
  const HeldMap& held = state.map_in_force;
  if (held.epoch == own.epoch && held.version == own.map &&
      held.map.size() == state.shape->sets) {
    return held.map;
  }
  mapswitch::ExpertLists map(state.shape->sets);
  for (uint32_t rank = 0; rank < own.size; ++rank) {
    const auto found = state.ranks.find(rank);
    if (found == state.ranks.end() || found->second.held.version != own.map ||
        found->second.held.sets.size() != map.size()) {
      return std::nullopt;
    }
    for (size_t set = 0; set < map.size(); ++set) {
      map[set].push_back(found->second.held.sets[set]);
    }
  }
  return map;
}

// Returns whether what is in demand has jumped.
bool Observe(RankState& state,
             const std::optional<placement::Choices>& sample) {
  const uint64_t shifts = state.drift.shifts;
  if (sample) {
    placement::ObserveChoices(state.drift, *sample);
  }
  if (state.drift.shifts == shifts) {
    return false;
  }
  Log(LogLevel::kInfo, "map", "demand_jumped",
      {{"jumps", std::to_string(state.drift.shifts)},
       {"step", std::to_string(state.choices.step)},
       {"remembered", std::to_string(state.drift.remembered.size())}});
  return true;
}

// `tellers` is 0 where each rank in its turn tells its own.
bool ObserveCounts(RankState& state,
                   const placement::RankChoices& chosen,
                   uint32_t reporters) {
  if (!state.shape || chosen.counts.empty()) {
    return false;
  }
  const placement::ChoicesShape shape{.ranks = state.own->size,
                                      .sets = state.shape->sets,
                                      .experts = state.shape->experts,
                                      .reporters = reporters};
  return Observe(state, placement::AddChoices(state.choices, chosen, shape,
                                              EventLoop::Now()));
}

std::vector<double> PacesOf(const RankState& state) {
  std::vector<double> paces;
  for (const auto& rank : state.map_switch.ranks) {
    paces.push_back(rank ? rank->status.pace : 1);
  }
  return paces;
}

// Whether the map that is being prepared was planned for a demand that has
// jumped since: waiting for its copies and only then copying the right ones
// takes twice the time at the worst skew.
bool is_outdated(const RankState& state) {
  const MapSwitch& map_switch = state.map_switch;
  if (!mapswitch::is_replaceable(map_switch) ||
      state.drift.shifts == state.planned_at_jump ||
      state.drift.present.size() != map_switch.wish.map.size()) {
    return false;
  }
  return placement::MeanSkew(map_switch.wish.map, state.drift, PacesOf(state)) >
         state.planned_skew + kOutdatedBy;
}

// Whether a plan made now would be the last one again.
bool is_fruitless(const RankState& state, double skew, double least_gain) {
  constexpr double kSameSkew = 0.03;
  const auto& last = state.fruitless;
  return last && last->map == state.own->map &&
         last->shifts == state.drift.shifts &&
         std::abs(last->skew - skew) < kSameSkew && last->gain < least_gain;
}

// Plans all sets and begins a switch if it gains enough.
void StartSwitchIfWorthIt(RankState& state, bool is_forced, TimePoint now) {
  const auto map = MapInForce(state);
  if (!map || state.drift.present.size() != map->size()) {
    return;
  }
  const double least_gain = placement::MinGainOfSwitch(
      state.map_switch.pass, state.places.settings.longest_pause);
  const double skew = placement::MeanSkew(*map, state.drift, PacesOf(state));
  telemetry::SetGauge(kSkew, {}, skew);
  if (!is_forced && is_fruitless(state, skew, least_gain)) {
    return;
  }
  placement::SwitchPlan plan = placement::PlanSwitch(
      *map, state.drift,
      {.ranks = state.own->size,
       .expert_slots_per_rank = state.shape->expert_slots_per_rank,
       .spare = state.shape->spare,
       .copies_per_rank = placement::CopiesPerRank(state.shape->copy),
       .paces = PacesOf(state)});
  const bool is_worth_it =
      plan.copies > 0 && plan.skew_before - plan.skew_after >= least_gain;
  if (!is_worth_it && !is_forced) {
    state.fruitless = {.map = state.own->map,
                       .shifts = state.drift.shifts,
                       .skew = skew,
                       .gain = plan.skew_before - plan.skew_after};
    return;
  }
  state.planned_skew = plan.skew_after;
  state.planned_at_jump = state.drift.shifts;
  mapswitch::StartSwitch(state.map_switch, std::move(plan.lists), now);
  telemetry::Count(kMapSwitches, {});
  telemetry::Count(kExpertCopies, {}, plan.copies);
  Log(LogLevel::kInfo, "map", "switch_started",
      {{"version", std::to_string(state.map_switch.wish.version)},
       {"epoch", std::to_string(state.map_switch.wish.epoch)},
       {"copies", std::to_string(plan.copies)},
       {"least_gain", Rounded(least_gain)},
       {"skew_met", Rounded(plan.skew_before)},
       {"skew_planned", Rounded(plan.skew_after)}});
}

// One line a group in each interval, so that a late stream can be laid beside
// what its group went through: passes, load and skew.
void LogGroup(RankState& state, TimePoint now) {
  constexpr Duration kInterval = std::chrono::milliseconds(250);
  if (now - state.group_logged < kInterval) {
    return;
  }
  state.group_logged = now;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t most = 0;
  for (const auto& rank : state.map_switch.ranks) {
    if (rank) {
      running += rank->status.running;
      queued += rank->status.queued;
      most = std::max(most, rank->status.running + rank->status.queued);
    }
  }
  const auto map = MapInForce(state);
  const bool is_skew_known =
      map && state.drift.present.size() == map->size() && !map->empty();
  Log(LogLevel::kInfo, "map", "group_load",
      {{"group", state.own->group},
       {"step", std::to_string(state.own->step)},
       {"map", std::to_string(state.own->map)},
       {"pass_ms", std::to_string(state.map_switch.pass.count() / 1000)},
       {"running", std::to_string(running)},
       {"queued", std::to_string(queued)},
       {"most_at_a_rank", std::to_string(most)},
       {"phase", std::string(mapswitch::NameOf(state.map_switch.phase))},
       {"skew", is_skew_known ? Rounded(placement::MeanSkew(*map, state.drift,
                                                            PacesOf(state)))
                              : "unknown"},
       {"jumps", std::to_string(state.drift.shifts)}});
}

}  // namespace

void Note(RankInfo& info,
          const std::string& from_ip,
          const membership::wire::RankNewsT& news) {
  info.ip = from_ip;
  info.wish_version = news.wish_version;
  info.base_version = news.base_version;
  if (info.epoch != news.status->epoch) {
    info.held = {};
    info.epoch = news.status->epoch;
  }
  const auto server = ParseAddress(news.status->address);
  if (server.has_value()) {
    info.server = server.value();
  }
  if (!news.lengths.empty()) {
    info.held = {.version = news.status->map, .sets = {}};
  }
  size_t at = 0;
  for (const uint16_t length : news.lengths) {
    const size_t end = std::min(news.experts.size(), at + length);
    info.held.sets.emplace_back(
        news.experts.begin() + static_cast<int64_t>(at),
        news.experts.begin() + static_cast<int64_t>(end));
    at = end;
  }
}

bool HandleRankNews(RankState& state,
                    const std::string& from_ip,
                    const membership::wire::RankNewsT& news) {
  if (news.status == nullptr || !state.is_owner() ||
      news.status->group != state.own->group ||
      news.status->size != state.own->size ||
      news.status->rank >= news.status->size) {
    return false;
  }
  const mapswitch::RankStatus status = FromWire(*news.status);
  const TimePoint now = EventLoop::Now();
  if (mapswitch::HandleStatus(state.map_switch, status, now)) {
    Log(LogLevel::kWarning, "map", "group_formed_anew",
        {{"rank", std::to_string(status.rank)},
         {"epoch", std::to_string(status.epoch)}});
  }
  Note(state.ranks[status.rank], from_ip, news);
  const std::vector<uint32_t> counts =
      placement::UnpackCounts({.counts = news.counts, .unit = news.count_unit});
  return ObserveCounts(state,
                       {.rank = status.rank,
                        .epoch = news.counts_epoch,
                        .step = news.counts_step,
                        .counts = counts},
                       0);
}

bool HandleBundle(RankState& state,
                  const std::string& from_ip,
                  const membership::wire::NewsBundleT& bundle) {
  const bool is_own_group = state.is_owner() &&
                            bundle.group == state.own->group &&
                            bundle.size == state.own->size;
  if (!is_own_group || bundle.news.empty()) {
    return false;
  }
  for (const auto& news : bundle.news) {
    if (news == nullptr || news->status == nullptr) {
      continue;
    }
    news->status->group = bundle.group;
    news->status->size = bundle.size;
    HandleRankNews(state, from_ip, *news);
  }
  const std::vector<uint32_t> counts = placement::UnpackCounts(
      {.counts = bundle.counts, .unit = bundle.count_unit});
  return ObserveCounts(state,
                       {.epoch = bundle.counts_epoch,
                        .step = bundle.counts_step,
                        .counts = counts},
                       1);
}

void LeadMap(RankState& state, TimePoint now) {
  MapSwitch& map_switch = state.map_switch;
  const SwitchPhase phase_before = map_switch.phase;
  map_switch.pass = admission::PassOf(state.places, now);
  map_switch.pass_began =
      state.places.passes.empty() ? TimePoint{} : state.places.passes.back().at;
  Observe(state, placement::EmitIfOverdue(state.choices, now));
  mapswitch::Continue(map_switch, now);
  if (map_switch.phase != phase_before) {
    Log(LogLevel::kInfo, "map", "switch_phase",
        {{"version", std::to_string(map_switch.wish.version)},
         {"phase", std::string(mapswitch::NameOf(map_switch.phase))},
         {"arm_step", std::to_string(map_switch.wish.arm_step)},
         {"step", std::to_string(state.own->step)},
         {"failure", map_switch.last_failure}});
    map_switch.last_failure.clear();
  }
  const bool has_work = std::any_of(
      map_switch.ranks.begin(), map_switch.ranks.end(),
      [](const auto& rank) { return rank && rank->status.running > 0; });
  const bool is_forced = mapswitch::needs_switch(map_switch, now);
  const bool may_start = mapswitch::is_ready_for_map(map_switch, now) ||
                         is_outdated(state) || is_forced;
  if (has_work && state.shape && may_start) {
    StartSwitchIfWorthIt(state, is_forced, now);
  }
  if (has_work && state.shape) {
    LogGroup(state, now);
  }
}

}  // namespace bramleyspan::rankd
