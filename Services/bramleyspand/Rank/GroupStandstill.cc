#include "Services/bramleyspand/Rank/GroupStandstill.h"

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"

namespace bramleyspan::rankd {

namespace {

constexpr telemetry::MetricName kGroupStoodTime{
    "bramleyspan_group_stood_seconds",
    "Times for which the group of this rank began no pass though the rank had "
    "work, of over 0.4 s each, by cause."};

constexpr telemetry::MetricName kGroupStandingSeconds{
    "bramleyspan_group_standing_seconds",
    "For how long the group of this rank has now begun no pass though the rank "
    "has work; 0 up to 0.4 s. A group that never goes on again shows here "
    "only."};

constexpr Duration kShortestStandstill = std::chrono::milliseconds(400);
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(300);

// What keeps the owner from letting the group go.
std::string FindCauseWhileAborting(const mapswitch::MapSwitch& map_switch) {
  if (mapswitch::lacks_abort_map(map_switch)) {
    return "abort_lacks_map";
  }
  return map_switch.desired_map.is_aborted ? "holder_keeps_hold"
                                           : "abort_not_recorded";
}

}  // namespace

void GroupStandstill::HandleOwnStatus(TimePoint now) {
  const mapswitch::RankStatus& own = *this->state.own;
  const bool is_moving = own.step != this->step || own.epoch != this->epoch;
  const bool has_work = own.running + own.queued > 0;
  if (!is_moving && has_work && now - this->since > kShortestStandstill &&
      !this->is_standing) {
    this->is_standing = true;
    this->cause = this->FindCause(now);
    this->Log("group_stands", now - this->since);
  }
  if (is_moving && this->is_standing) {
    this->is_standing = false;
    telemetry::Observe(kGroupStoodTime, {{"cause", this->cause}},
                       now - this->since);
    this->Log("group_stood", now - this->since);
  }
  if (is_moving || (!has_work && !this->is_standing)) {
    this->since = now;
  }
  const Duration standing = this->is_standing ? now - this->since : Duration(0);
  telemetry::SetGauge(kGroupStandingSeconds, {},
                      std::chrono::duration<double>(standing).count());
  this->step = own.step;
  this->epoch = own.epoch;
}

std::string GroupStandstill::FindCause(TimePoint now) const {
  const mapswitch::RankStatus& own = *this->state.own;
  if (!own.is_open) {
    return "group_closed";
  }
  const auto& desired_map = this->state.desired_map;
  if (own.held == 0 && (!desired_map || desired_map->hold_step == 0)) {
    return "unknown";
  }
  if (!this->state.is_owner()) {
    return "held";
  }
  const mapswitch::MapSwitch& map_switch = this->state.map_switch;
  if (map_switch.phase == mapswitch::SwitchPhase::kAborting) {
    return FindCauseWhileAborting(map_switch);
  }
  for (const auto& rank : map_switch.ranks) {
    if (!rank || now - rank->received_at > kUnresponsiveAfter) {
      return "rank_silent_in_switch";
    }
  }
  return "held";
}

void GroupStandstill::Log(std::string_view event, Duration stood) const {
  const mapswitch::RankStatus& own = *this->state.own;
  std::string silent;
  if (this->state.is_owner()) {
    const TimePoint now = EventLoop::Now();
    for (size_t rank = 0; rank < this->state.map_switch.ranks.size(); ++rank) {
      const auto& known = this->state.map_switch.ranks[rank];
      if (!known || now - known->received_at > kUnresponsiveAfter) {
        silent += (silent.empty() ? "" : ",") + std::to_string(rank);
      }
    }
  }
  telemetry::Log(
      telemetry::LogLevel::kWarning, "map", event,
      {{"group", own.group},
       {"server", Format(*this->state.fleet().engine)},
       {"rank", std::to_string(own.rank)},
       {"epoch", std::to_string(own.epoch)},
       {"step", std::to_string(own.step)},
       {"for_ms", std::to_string(stood.count() / 1000)},
       {"cause", this->cause},
       {"held", std::to_string(own.held)},
       {"armed", std::to_string(own.armed)},
       {"phase", std::string(mapswitch::NameOf(this->state.map_switch.phase))},
       {"silent_ranks", silent},
       {"work", std::to_string(own.running + own.queued)}});
}

}  // namespace bramleyspan::rankd
