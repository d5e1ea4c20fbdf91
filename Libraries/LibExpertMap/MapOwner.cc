#include "LibExpertMap/MapOwner.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::expertmap {

namespace {

bool is_owner(const MapOwner& owner) {
  return owner.phase == OwnerPhase::kOwning ||
         owner.phase == OwnerPhase::kDeciding;
}

MapVersion DecidedVersion(const MapOwner& owner) {
  return owner.log.decision ? owner.log.decision->map.version : 0;
}

template <typename Predicate>
bool all_ranks(const MapOwner& owner, Predicate predicate) {
  return std::all_of(owner.ranks.begin(), owner.ranks.end(),
                     [&](const RankView& view) {
                       return view.report && predicate(view.report->engine);
                     });
}

// Returns the last step that any rank is known to have begun. Only answers to
// this owner count; a rank that answered it follows no earlier owner any more,
// so no grant of an earlier owner is based on a later step.
Step LastKnownStep(const MapOwner& owner) {
  Step last = 0;
  for (const RankView& view : owner.ranks) {
    last = std::max(last, view.report ? view.report->engine.step : 0);
  }
  return last;
}

MapOrder MakeOrder(MapOwner& owner) {
  return {owner.group,        owner.log.incarnation, ++owner.sequence,
          owner.log.decision, owner.granted_until,   owner.next};
}

void SendToAll(MapOwner& owner, OwnerEffects& effects) {
  const MapOrder order = MakeOrder(owner);
  for (Rank rank = 0; rank < owner.ranks.size(); ++rank) {
    effects.emplace_back(SendOrder{rank, order});
  }
}

void StopAsFenced(MapOwner& owner, OwnerEffects& effects) {
  owner.phase = OwnerPhase::kFencedOff;
  effects.emplace_back(RaiseAlarm{MapAlarm::kFencedOff, owner.group});
}

// Writes `intended_log`. A swap with unknown outcome is repeated unchanged:
// whichever attempt takes place, the log contains the same decision.
void WriteIntendedLog(MapOwner& owner, OwnerEffects& effects) {
  effects.emplace_back(
      SwapLog{owner.log_version, Serialize(owner.intended_log)});
}

void Acquire(MapOwner& owner, DecisionLog found, OwnerEffects& effects) {
  owner.intended_log = std::move(found);
  ++owner.intended_log.incarnation;
  owner.intended_log.holder = owner.holder;
  WriteIntendedLog(owner, effects);
}

// Handles a log that equals the intended one: the swap took place.
void AcceptLog(MapOwner& owner, OwnerEffects& effects) {
  owner.log = owner.intended_log;
  if (owner.phase == OwnerPhase::kDeciding) {
    owner.next.reset();
  }
  owner.phase = OwnerPhase::kOwning;
  SendToAll(owner, effects);
}

void StartNext(MapOwner& owner, Placement placement, OwnerEffects& effects) {
  owner.next =
      ExpertMap{VersionOf(owner.log.incarnation, ++owner.prepared_map_count),
                std::move(placement)};
  SendToAll(owner, effects);
}

bool is_in_force(const MapOwner& owner, const Placement& placement) {
  return owner.log.decision && owner.log.decision->map.placement == placement;
}

// Starts the switch to the proposed placement unless another is in progress.
void StartProposed(MapOwner& owner, OwnerEffects& effects) {
  if (!owner.proposed || owner.next || owner.phase != OwnerPhase::kOwning) {
    return;
  }
  Placement placement = *std::exchange(owner.proposed, std::nullopt);
  if (!is_in_force(owner, placement)) {
    StartNext(owner, std::move(placement), effects);
  }
}

// Only one switch runs at a time: an engine retains only two maps, and a new
// decision may only follow one that every rank has applied.
bool is_last_switch_complete(const MapOwner& owner) {
  if (!owner.log.decision) {
    return true;
  }
  const Decision& decision = *owner.log.decision;
  return is_acknowledged(owner) &&
         all_ranks(owner, [&](const EngineStatus& engine) {
           return engine.step >= decision.from_step;
         });
}

void DecideIfAllLoaded(MapOwner& owner, OwnerEffects& effects) {
  if (!owner.next || owner.phase != OwnerPhase::kOwning ||
      !is_last_switch_complete(owner) ||
      !all_ranks(owner, [&](const EngineStatus& engine) {
        return engine.loaded.contains(owner.next->version);
      })) {
    return;
  }
  // A grant that is still in flight, from this owner or a failed one, reaches
  // at most `window` steps beyond the last known step. If from_step were within
  // that range, a rank could begin it with the old map before it received the
  // new one.
  const Step from_step =
      owner.log.decision ? LastKnownStep(owner) + owner.window + 1 : 1;
  owner.intended_log = owner.log;
  owner.intended_log.decision = Decision{*owner.next, from_step};
  owner.phase = OwnerPhase::kDeciding;
  WriteIntendedLog(owner, effects);
}

// Extends the grant of all ranks; grants never decrease. They stay unchanged
// while a decision is being written, since its `from_step` lies after all steps
// granted so far.
void GrantIfAcknowledged(MapOwner& owner, OwnerEffects& effects) {
  if (owner.phase != OwnerPhase::kOwning || !is_acknowledged(owner)) {
    return;
  }
  const Step until = LastKnownStep(owner) + owner.window;
  // Extends by at least half a window, so that there are few orders and the
  // group never waits.
  if (until >= owner.granted_until + (owner.window + 1) / 2) {
    owner.granted_until = until;
    SendToAll(owner, effects);
  }
}

void AlarmIfRankAhead(const MapOwner& owner,
                      const MapReport& report,
                      OwnerEffects& effects) {
  if (report.engine.version > DecidedVersion(owner)) {
    effects.emplace_back(
        RaiseAlarm{MapAlarm::kRankAhead, std::to_string(report.rank)});
  }
}

void AlarmUnresponsiveRanks(MapOwner& owner,
                            TimePoint now,
                            OwnerEffects& effects) {
  for (Rank rank = 0; rank < owner.ranks.size(); ++rank) {
    RankView& view = owner.ranks[rank];
    const bool is_unresponsive =
        now - view.last_received > kUnresponsiveRankAlarm;
    if (is_unresponsive && !std::exchange(view.is_alarm_raised, true)) {
      effects.emplace_back(
          RaiseAlarm{MapAlarm::kRankUnresponsive, std::to_string(rank)});
    }
  }
}

}  // namespace

std::string_view NameOf(MapAlarm alarm) {
  switch (alarm) {
    case MapAlarm::kRankUnresponsive:
      return "rank_is_silent";
    case MapAlarm::kRankAhead:
      return "rank_is_ahead";
    case MapAlarm::kFencedOff:
      return "fenced_off";
    case MapAlarm::kLogUnavailable:
      return "log_unavailable";
    case MapAlarm::kLogMalformed:
      return "log_malformed";
  }
  return "unknown";
}

bool is_acknowledged(const MapOwner& owner) {
  return owner.log.decision &&
         all_ranks(owner, [&](const EngineStatus& engine) {
           return engine.version == DecidedVersion(owner);
         });
}

OwnerEffects StartOwner(MapOwner& owner,
                        std::string group,
                        size_t rank_count,
                        std::string holder,
                        TimePoint now) {
  owner.group = std::move(group);
  owner.holder = std::move(holder);
  owner.ranks.assign(rank_count, RankView{.report = {}, .last_received = now});
  return {ReadLog{}};
}

OwnerEffects ProposeMap(MapOwner& owner, Placement placement) {
  OwnerEffects effects;
  owner.proposed = std::move(placement);
  StartProposed(owner, effects);
  return effects;
}

OwnerEffects HandleLogRead(MapOwner& owner,
                           const Result<StoredLog>& stored,
                           TimePoint now) {
  OwnerEffects effects;
  if (stored.has_error()) {
    // The next tick reads again. Until then existing grants remain valid, but
    // no decision is made, since the state of the log is unknown.
    effects.emplace_back(
        RaiseAlarm{MapAlarm::kLogUnavailable, Describe(stored.error())});
    return effects;
  }
  DecisionLog found;
  if (!stored.value().text.empty()) {
    auto parsed = ParseDecisionLog(stored.value().text);
    if (parsed.has_error()) {
      effects.emplace_back(
          RaiseAlarm{MapAlarm::kLogMalformed, Describe(parsed.error())});
      return effects;
    }
    found = std::move(parsed).assume_value();
  }
  if (is_owner(owner) && found.incarnation != owner.log.incarnation) {
    StopAsFenced(owner, effects);
    return effects;
  }
  owner.log_version = stored.value().version;
  if (found == owner.intended_log &&
      owner.intended_log.holder == owner.holder) {
    for (RankView& view : owner.ranks) {
      view.last_received =
          std::max(view.last_received, now - kUnresponsiveRankAlarm);
    }
    AcceptLog(owner, effects);
    StartProposed(owner, effects);
  } else if (owner.phase == OwnerPhase::kAcquiring) {
    Acquire(owner, std::move(found), effects);
  } else if (owner.phase == OwnerPhase::kDeciding) {
    WriteIntendedLog(owner, effects);
  }
  return effects;
}

OwnerEffects HandleLogSwapped(MapOwner& owner, const Result<bool>& swapped) {
  if (owner.phase == OwnerPhase::kFencedOff) {
    return {};
  }
  if (swapped.has_error()) {
    return {RaiseAlarm{MapAlarm::kLogUnavailable, Describe(swapped.error())}};
  }
  // Whether the swap took place or another one did, the log shows it together
  // with its new version.
  return {ReadLog{}};
}

OwnerEffects HandleMapReport(MapOwner& owner,
                             const MapReport& report,
                             TimePoint now) {
  OwnerEffects effects;
  // An answer to an earlier owner may predate that owner's last grant.
  if (!is_owner(owner) || report.incarnation != owner.log.incarnation ||
      report.group != owner.group || report.rank >= owner.ranks.size()) {
    return effects;
  }
  RankView& view = owner.ranks[report.rank];
  view.last_received = now;
  view.is_alarm_raised = false;
  AlarmIfRankAhead(owner, report, effects);
  // A reordered report must not lower the known step.
  if (!view.report || report.engine.step >= view.report->engine.step) {
    view.report = report;
  }
  DecideIfAllLoaded(owner, effects);
  GrantIfAcknowledged(owner, effects);
  return effects;
}

OwnerEffects HandleOwnerTick(MapOwner& owner, TimePoint now) {
  OwnerEffects effects;
  if (owner.phase == OwnerPhase::kAcquiring ||
      owner.phase == OwnerPhase::kDeciding) {
    effects.emplace_back(ReadLog{});
  }
  if (is_owner(owner)) {
    SendToAll(owner, effects);
    AlarmUnresponsiveRanks(owner, now, effects);
    StartProposed(owner, effects);
  }
  return effects;
}

}  // namespace bramleyspan::expertmap
