#include "Services/bramleyspand/Rank/StandbyOwner.h"

#include "LibTelemetry/Log.h"

namespace bramleyspan::rankd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

// A group that begins no pass for so long is held, or one of its ranks has
// failed.
constexpr Duration kStalledAfter = std::chrono::milliseconds(250);
// Agents take over one after the other in the order of their ranks, so that
// usually only one does.
constexpr Duration kDelayPerRank = std::chrono::milliseconds(60);
constexpr Duration kOwnerUnresponsiveAfter = std::chrono::milliseconds(200);
constexpr Duration kRoundInterval = std::chrono::milliseconds(120);
constexpr Duration kRemoteTimeout = std::chrono::milliseconds(250);

}  // namespace

bool StandbyOwner::is_needed(TimePoint now) {
  const mapswitch::RankStatus& own = *this->state.own;
  // In a held group requests wait and none runs.
  const bool has_work = own.running + own.queued > 0;
  if (own.step != this->last_step || !has_work) {
    this->last_step = own.step;
    this->step_changed = now;
    return false;
  }
  const Duration takeover_delay = kStalledAfter + kDelayPerRank * own.rank;
  return own.rank != 0 && own.is_open &&
         this->state.group_servers.size() == own.size &&
         (own.armed != 0 || own.prepared > own.map) &&
         now - this->step_changed > takeover_delay &&
         now - this->state.owner_last_received > kOwnerUnresponsiveAfter;
}

void StandbyOwner::HandleOwnStatus(TimePoint now) {
  if (!this->is_needed(now)) {
    this->map_switch = {};
    return;
  }
  if (now - this->last_round < kRoundInterval) {
    return;
  }
  this->last_round = now;
  this->map_switch.is_standby = true;
  Log(LogLevel::kWarning, "map", "stands_in_for_owner",
      {{"step", std::to_string(this->state.own->step)},
       {"armed", std::to_string(this->state.own->armed)},
       {"prepared", std::to_string(this->state.own->prepared)}});
  this->PollAllRanks();
}

void StandbyOwner::PollAllRanks() {
  for (const Address& server : this->state.group_servers) {
    http::DirectCall::Fetch(
        this->state.loop,
        {.target = server,
         .path = this->state.adapter.report_path,
         .headers = {{"host", Format(server)}},
         .timeout = kRemoteTimeout},
        [this, server](http::CallEnd end, const http::Response& response) {
          if (end == http::CallEnd::kWhole && response.status == 200) {
            this->HandleReport(server, response.body);
          }
        });
  }
}

void StandbyOwner::HandleReport(const Address& server,
                                const std::string& body) {
  const auto status = this->state.adapter.parse_report(body);
  if (status.has_error() || !this->map_switch.is_standby ||
      status.value().group != this->state.own->group) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  mapswitch::HandleStatus(this->map_switch, status.value(), now);
  if (this->state.desired_map &&
      this->state.desired_map->epoch == this->state.own->epoch) {
    mapswitch::InferOwnerArmed(this->map_switch, *this->state.desired_map,
                               this->state.own->size, now);
  }
  mapswitch::Continue(this->map_switch, now);
  const mapswitch::SwitchPhase phase = this->map_switch.phase;
  const bool may_order = phase == mapswitch::SwitchPhase::kArming ||
                         phase == mapswitch::SwitchPhase::kReleasing ||
                         (phase == mapswitch::SwitchPhase::kArmingOwner &&
                          status.value().rank == 0);
  if (!may_order) {
    return;
  }
  const auto order =
      mapswitch::NextOrder(this->map_switch.desired_map, status.value());
  if (order) {
    this->send_order(server, *order);
  }
}

}  // namespace bramleyspan::rankd
