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

constexpr telemetry::MetricName kMapSwitchesAborted{
    "bramleyspan_map_switches_aborted_total",
    "Held groups that were let go without a switch, by what the owner knew of "
    "it (known=own: its own switch; known=no: only the hold)."};

// A map in preparation is replaced if its present skew exceeds the planned skew
// by this much.
constexpr double kOutdatedSkewMargin = 0.35;

std::string Rounded(double value) {
  constexpr double kHundredths = 100;
  return std::to_string(static_cast<int>(value * kHundredths) / kHundredths)
      .substr(0, 4);
}

// Returns the map in force, by set and rank, or nothing while a rank has not
// reported what it holds under it. A map that this owner switched to is known
// before the ranks report it.
std::optional<mapswitch::ExpertLists> MapInForce(const RankState& state) {
  const mapswitch::RankStatus& own = *state.own;
  const mapswitch::DesiredMap& desired_map = state.map_switch.desired_map;
  if (desired_map.epoch == own.epoch && desired_map.version == own.map &&
      desired_map.map.size() == state.shape->sets) {
    return desired_map.map;
  }
  const VersionedMap& base = state.map_in_force;
  if (base.epoch == own.epoch && base.version == own.map &&
      base.map.size() == state.shape->sets) {
    return base.map;
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

// Returns whether demand has shifted.
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

// `senders` is the number of senders of a pass's counts; 0 if ranks take turns
// and each sends its own.
bool ObserveCounts(RankState& state,
                   const placement::RankChoices& chosen,
                   uint32_t senders) {
  if (!state.shape || chosen.counts.empty()) {
    return false;
  }
  const placement::ChoicesShape shape{.ranks = state.own->size,
                                      .sets = state.shape->sets,
                                      .experts = state.shape->experts,
                                      .reporters = senders};
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

// Whether the map in preparation was planned for a demand that has shifted
// since. Waiting for its copies before copying the right ones would take twice
// the time at the worst skew.
bool is_outdated(const RankState& state) {
  const MapSwitch& map_switch = state.map_switch;
  if (!mapswitch::is_replaceable(map_switch) ||
      state.drift.shifts == state.planned_at_shift ||
      state.drift.present.size() != map_switch.desired_map.map.size()) {
    return false;
  }
  return placement::MeanSkew(map_switch.desired_map.map, state.drift,
                             PacesOf(state)) >
         state.planned_skew + kOutdatedSkewMargin;
}

// Whether a plan made now would equal the last rejected one.
bool is_rejected_again(const RankState& state, double skew, double least_gain) {
  constexpr double kSameSkew = 0.03;
  const auto& last = state.rejected_plan;
  return last && last->map == state.own->map &&
         last->shifts == state.drift.shifts &&
         std::abs(last->skew - skew) < kSameSkew && last->gain < least_gain;
}

// Plans all sets and starts a switch if it gains enough.
void StartSwitchIfWorthwhile(RankState& state, TimePoint now) {
  const auto map = MapInForce(state);
  if (!map || state.drift.present.size() != map->size()) {
    return;
  }
  const double least_gain = placement::MinGainOfSwitch(
      state.map_switch.pass, state.rank_admission.settings.longest_pause);
  const double skew = placement::MeanSkew(*map, state.drift, PacesOf(state));
  telemetry::SetGauge(kSkew, {}, skew);
  if (is_rejected_again(state, skew, least_gain)) {
    return;
  }
  placement::SwitchPlan plan = placement::PlanSwitch(
      *map, state.drift,
      {.ranks = state.own->size,
       .expert_slots_per_rank = state.shape->expert_slots_per_rank,
       .spare = state.shape->spare,
       .copies_per_rank = placement::CopiesPerRank(state.shape->copy),
       .paces = PacesOf(state)});
  const bool is_worthwhile =
      plan.copies > 0 && plan.skew_before - plan.skew_after >= least_gain;
  if (!is_worthwhile) {
    state.rejected_plan = {.map = state.own->map,
                           .shifts = state.drift.shifts,
                           .skew = skew,
                           .gain = plan.skew_before - plan.skew_after};
    return;
  }
  state.planned_skew = plan.skew_after;
  state.planned_at_shift = state.drift.shifts;
  mapswitch::StartSwitch(state.map_switch, std::move(plan.lists), now);
  state.map_switch.abort_map = *map;
  telemetry::Count(kMapSwitches, {});
  telemetry::Count(kExpertCopies, {}, plan.copies);
  Log(LogLevel::kInfo, "map", "switch_started",
      {{"version", std::to_string(state.map_switch.desired_map.version)},
       {"epoch", std::to_string(state.map_switch.desired_map.epoch)},
       {"copies", std::to_string(plan.copies)},
       {"least_gain", Rounded(least_gain)},
       {"skew_met", Rounded(plan.skew_before)},
       {"skew_planned", Rounded(plan.skew_after)}});
}

// Provides what the owner's rank prepares to let go a held group of which this
// process knows nothing else.
void ProvideAbortMap(RankState& state) {
  const auto& own_held = state.own_held;
  if (!state.shape || own_held.version != state.own->map ||
      own_held.sets.size() != state.shape->sets) {
    return;
  }
  state.map_switch.abort_map = mapswitch::MakeAbortMap(
      own_held.sets, state.own->size, state.shape->experts);
}

// Logs one line for each group and interval, so that a late stream can be
// compared with its group's passes, load and skew at that time.
void LogGroup(RankState& state, TimePoint now) {
  constexpr Duration kInterval = std::chrono::milliseconds(250);
  if (now - state.group_logged_at < kInterval) {
    return;
  }
  state.group_logged_at = now;
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
  const std::vector<double> paces = PacesOf(state);
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
       {"skew", is_skew_known
                    ? Rounded(placement::MeanSkew(*map, state.drift, paces))
                    : "unknown"},
       {"slowest_pace", Rounded(*std::max_element(paces.begin(), paces.end()))},
       {"jumps", std::to_string(state.drift.shifts)}});
}

}  // namespace

void RecordUpdate(RankInfo& info,
                  const std::string& from_ip,
                  const membership::wire::RankNewsT& update) {
  info.ip = from_ip;
  info.received_version = update.wish_version;
  info.base_version = update.base_version;
  if (info.epoch != update.status->epoch) {
    info.held = {};
    info.epoch = update.status->epoch;
  }
  const auto server = ParseAddress(update.status->address);
  if (server.has_value()) {
    info.server = server.value();
  }
  if (!update.lengths.empty()) {
    info.held = {.version = update.status->map, .sets = {}};
  }
  size_t at = 0;
  for (const uint16_t length : update.lengths) {
    const size_t end = std::min(update.experts.size(), at + length);
    info.held.sets.emplace_back(
        update.experts.begin() + static_cast<int64_t>(at),
        update.experts.begin() + static_cast<int64_t>(end));
    at = end;
  }
}

bool HandleRankUpdate(RankState& state,
                      const std::string& from_ip,
                      const membership::wire::RankNewsT& update) {
  if (update.status == nullptr || !state.is_owner() ||
      update.status->group != state.own->group ||
      update.status->size != state.own->size ||
      update.status->rank >= update.status->size) {
    return false;
  }
  const mapswitch::RankStatus status = FromWire(*update.status);
  const TimePoint now = EventLoop::Now();
  if (mapswitch::HandleStatus(state.map_switch, status, now)) {
    Log(LogLevel::kWarning, "map", "group_formed_anew",
        {{"rank", std::to_string(status.rank)},
         {"epoch", std::to_string(status.epoch)}});
  }
  RecordUpdate(state.ranks[status.rank], from_ip, update);
  const std::vector<uint32_t> counts = placement::UnpackCounts(
      {.counts = update.counts, .unit = update.count_unit});
  return ObserveCounts(state,
                       {.rank = status.rank,
                        .epoch = update.counts_epoch,
                        .step = update.counts_step,
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
  for (const auto& update : bundle.news) {
    if (update == nullptr || update->status == nullptr) {
      continue;
    }
    update->status->group = bundle.group;
    update->status->size = bundle.size;
    HandleRankUpdate(state, from_ip, *update);
  }
  const std::vector<uint32_t> counts = placement::UnpackCounts(
      {.counts = bundle.counts, .unit = bundle.count_unit});
  return ObserveCounts(state,
                       {.epoch = bundle.counts_epoch,
                        .step = bundle.counts_step,
                        .counts = counts},
                       1);
}

void ManageMap(RankState& state, TimePoint now) {
  MapSwitch& map_switch = state.map_switch;
  const SwitchPhase phase_before = map_switch.phase;
  map_switch.pass = admission::PassOf(state.rank_admission, now);
  map_switch.pass_began = state.rank_admission.passes.empty()
                              ? TimePoint{}
                              : state.rank_admission.passes.back().at;
  Observe(state, placement::EmitIfOverdue(state.choices, now));
  mapswitch::Continue(map_switch, now);
  if (map_switch.phase != phase_before) {
    Log(LogLevel::kInfo, "map", "switch_phase",
        {{"group", state.own->group},
         {"version", std::to_string(map_switch.desired_map.version)},
         {"phase", std::string(mapswitch::NameOf(map_switch.phase))},
         {"arm_step", std::to_string(map_switch.desired_map.arm_step)},
         {"step", std::to_string(state.own->step)},
         {"failure", map_switch.last_failure}});
    map_switch.last_failure.clear();
    if (map_switch.phase == SwitchPhase::kAborting) {
      telemetry::Count(
          kMapSwitchesAborted,
          {{"known", map_switch.is_unknown_switch ? "no" : "own"}});
    }
  }
  if (mapswitch::lacks_abort_map(map_switch)) {
    ProvideAbortMap(state);
  }
  // While a group is held, its requests wait and none runs.
  const bool has_work = std::any_of(
      map_switch.ranks.begin(), map_switch.ranks.end(), [](const auto& rank) {
        return rank && rank->status.running + rank->status.queued > 0;
      });
  const bool may_start =
      mapswitch::is_ready_for_map(map_switch, now) || is_outdated(state);
  if (has_work && state.shape && may_start) {
    StartSwitchIfWorthwhile(state, now);
  }
  if (has_work && state.shape) {
    LogGroup(state, now);
  }
}

}  // namespace bramleyspan::rankd
