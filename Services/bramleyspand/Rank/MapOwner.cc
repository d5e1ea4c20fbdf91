#include "Services/bramleyspand/Rank/MapOwner.h"

#include <algorithm>
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

// Copies in a set that one switch brings: few are there sooner than many, but
// a slow rank is worth emptying.
constexpr uint32_t kCopiesPerSwitch = 1;
constexpr uint32_t kCopiesPerSwitchOfSlow = 4;
constexpr uint32_t kCopiesAtLargeSkew = 2;
constexpr double kLargeSkew = 2.3;
// A copy must lower its set's skew by this much.
constexpr double kLeastGainOfCopy = 0.04;
// A switch must lower the mean skew of all sets by this much.
constexpr double kLeastGainOfSwitch = 0.12;

// A map in preparation is replaced if its skew is this much above what was
// planned.
constexpr double kOutdatedBy = 0.35;

constexpr Duration kSampleTime = std::chrono::milliseconds(90);

std::string Rounded(double value) {
  constexpr double kHundredths = 100;
  return std::to_string(static_cast<int>(value * kHundredths) / kHundredths)
      .substr(0, 4);
}

// The map in force, set by set and rank by rank; nothing while a rank has not
// told what it holds under it.
std::optional<mapswitch::ExpertLists> MapInForce(const RankState& state) {
  const mapswitch::RankStatus& own = *state.own;
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

void ObserveCounts(RankState& state, const std::vector<uint32_t>& counts) {
  if (!state.shape ||
      counts.size() != size_t{state.shape->sets} * state.shape->experts) {
    return;
  }
  auto& choices = state.choices;
  choices.resize(state.shape->sets,
                 std::vector<double>(state.shape->experts, 0));
  size_t at = 0;
  for (auto& set : choices) {
    for (double& sum : set) {
      sum += counts[at++];
    }
  }
  // One rank's requests are not what the group's are: a sample holds what all
  // ranks told in this time.
  const TimePoint now = EventLoop::Now();
  if (now - state.sampled < kSampleTime) {
    return;
  }
  state.sampled = now;
  const uint64_t jumps = state.drift.jumps;
  placement::ObserveChoices(state.drift, std::exchange(choices, {}));
  if (state.drift.jumps != jumps) {
    Log(LogLevel::kInfo, "map", "demand_jumped",
        {{"jumps", std::to_string(state.drift.jumps)},
         {"remembered", std::to_string(state.drift.remembered.size())}});
  }
}

std::vector<double> PacesOf(const RankState& state) {
  std::vector<double> paces;
  for (const auto& rank : state.map_switch.ranks) {
    paces.push_back(rank ? rank->status.pace : 1);
  }
  return paces;
}

double MeanSkew(const RankState& state,
                const mapswitch::ExpertLists& map,
                const std::vector<double>& paces) {
  double sum = 0;
  for (size_t set = 0; set < map.size(); ++set) {
    sum += placement::SkewOf(map[set], state.drift.present[set], paces);
  }
  return sum / static_cast<double>(map.size());
}

// Whether the map that is being prepared was planned for a demand that has
// jumped since: waiting for its copies and only then copying the right ones
// takes twice the time at the worst skew.
bool is_outdated(const RankState& state) {
  const MapSwitch& map_switch = state.map_switch;
  if (!mapswitch::is_replaceable(map_switch) ||
      state.drift.jumps == state.planned_at_jump ||
      state.drift.present.size() != map_switch.wish.map.size()) {
    return false;
  }
  return MeanSkew(state, map_switch.wish.map, PacesOf(state)) >
         state.planned_skew + kOutdatedBy;
}

// Plans all sets and begins a switch if it gains enough.
void StartSwitchIfWorthIt(RankState& state, bool is_forced, TimePoint now) {
  const auto map = MapInForce(state);
  if (!map || state.drift.present.size() != map->size()) {
    return;
  }
  const std::vector<double> paces = PacesOf(state);
  constexpr double kSlow = 1.3;
  const bool is_any_slow = std::any_of(
      paces.begin(), paces.end(), [](double pace) { return pace > kSlow; });
  const uint32_t most_copies = is_any_slow ? kCopiesPerSwitchOfSlow
                               : MeanSkew(state, *map, paces) > kLargeSkew
                                   ? kCopiesAtLargeSkew
                                   : kCopiesPerSwitch;
  mapswitch::ExpertLists next;
  std::vector<uint32_t> new_on_rank;
  double before = 0;
  double after = 0;
  uint32_t copies = 0;
  for (size_t set = 0; set < map->size(); ++set) {
    const placement::CopyPlan plan =
        placement::PlanCopies((*map)[set], state.drift.present[set],
                              placement::RememberedShares(state.drift, set),
                              {.places_per_rank = state.shape->places_per_rank,
                               .spare = state.shape->spare,
                               .most_copies = most_copies,
                               .least_gain = kLeastGainOfCopy,
                               .paces = paces},
                              new_on_rank);
    before += plan.skew_before;
    after += plan.skew_after;
    copies += plan.copies;
    next.push_back(plan.lists);
  }
  const auto sets = static_cast<double>(map->size());
  telemetry::SetGauge(kSkew, {}, before / sets);
  const bool is_worth_it =
      copies > 0 && (before - after) / sets >= kLeastGainOfSwitch;
  if (!is_worth_it && !is_forced) {
    return;
  }
  state.planned_skew = after / sets;
  state.planned_at_jump = state.drift.jumps;
  mapswitch::StartSwitch(state.map_switch, std::move(next), now);
  telemetry::Count(kMapSwitches, {});
  telemetry::Count(kExpertCopies, {}, copies);
  Log(LogLevel::kInfo, "map", "switch_started",
      {{"version", std::to_string(state.map_switch.wish.version)},
       {"epoch", std::to_string(state.map_switch.wish.epoch)},
       {"copies", std::to_string(copies)},
       {"skew_met", Rounded(before / sets)},
       {"skew_planned", Rounded(after / sets)}});
}

}  // namespace

void HandleRankNews(RankState& state,
                    const std::string& from_ip,
                    const membership::wire::RankNewsT& news) {
  if (news.status == nullptr || !state.is_owner() ||
      news.status->group != state.own->group) {
    return;
  }
  const mapswitch::RankStatus status = FromWire(*news.status);
  const TimePoint now = EventLoop::Now();
  if (mapswitch::HandleStatus(state.map_switch, status, now)) {
    Log(LogLevel::kWarning, "map", "group_formed_anew",
        {{"rank", std::to_string(status.rank)},
         {"epoch", std::to_string(status.epoch)}});
  }
  RankInfo& info = state.ranks[status.rank];
  info.ip = from_ip;
  if (info.epoch != status.epoch) {
    info.held = {};
    info.epoch = status.epoch;
  }
  const auto server = ParseAddress(news.status->address);
  if (server.has_value()) {
    info.server = server.value();
  }
  if (!news.lengths.empty()) {
    info.held = {.version = status.map, .sets = {}};
  }
  size_t at = 0;
  for (const uint16_t length : news.lengths) {
    const size_t end = std::min(news.experts.size(), at + length);
    info.held.sets.emplace_back(
        news.experts.begin() + static_cast<int64_t>(at),
        news.experts.begin() + static_cast<int64_t>(end));
    at = end;
  }
  ObserveCounts(state, news.counts);
}

void LeadMap(RankState& state, TimePoint now) {
  MapSwitch& map_switch = state.map_switch;
  const SwitchPhase phase_before = map_switch.phase;
  map_switch.pass = admission::PassOf(state.places, now);
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
}

}  // namespace bramleyspan::rankd
