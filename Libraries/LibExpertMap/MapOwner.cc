#include "LibExpertMap/MapOwner.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::expertmap {

namespace {

bool is_owning(const MapOwner& owner) {
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

// The last step that any rank is known to have begun. Only answers to this
// owner count, so no earlier owner can have granted on a later one.
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

void FenceOff(MapOwner& owner, OwnerEffects& effects) {
  owner.phase = OwnerPhase::kFencedOff;
  effects.emplace_back(RaiseAlarm{MapAlarm::kFencedOff, owner.group});
}

// Writes `wanted_log`. A swap in doubt is repeated as it is: whichever attempt
// takes place, the log ends with this very decision.
void Swap(MapOwner& owner, OwnerEffects& effects) {
  effects.emplace_back(SwapLog{owner.log_version, Serialize(owner.wanted_log)});
}

void Acquire(MapOwner& owner, DecisionLog found, OwnerEffects& effects) {
  owner.wanted_log = std::move(found);
  ++owner.wanted_log.incarnation;
  owner.wanted_log.holder = owner.holder;
  Swap(owner, effects);
}

// The log shows what was wanted, so the swap took place.
void AcceptLog(MapOwner& owner, OwnerEffects& effects) {
  owner.log = owner.wanted_log;
  if (owner.phase == OwnerPhase::kDeciding) {
    owner.next.reset();
  }
  owner.phase = OwnerPhase::kOwning;
  SendToAll(owner, effects);
}

void StartNext(MapOwner& owner, Placement placement, OwnerEffects& effects) {
  owner.next =
      ExpertMap{VersionOf(owner.log.incarnation, ++owner.prepared_maps),
                std::move(placement)};
  SendToAll(owner, effects);
}

bool is_in_force(const MapOwner& owner, const Placement& placement) {
  return owner.log.decision && owner.log.decision->map.placement == placement;
}

// Starts the switch to the proposed placement unless another is under way.
void StartProposed(MapOwner& owner, OwnerEffects& effects) {
  if (!owner.proposed || owner.next || owner.phase != OwnerPhase::kOwning) {
    return;
  }
  Placement placement = *std::exchange(owner.proposed, std::nullopt);
  if (!is_in_force(owner, placement)) {
    StartNext(owner, std::move(placement), effects);
  }
}

// One switch at a time: an engine needs to remember only two maps, and the
// next decision can only follow one that every rank obeys already.
bool is_last_switch_over(const MapOwner& owner) {
  if (!owner.log.decision) {
    return true;
  }
  const Decision& decision = *owner.log.decision;
  return is_acknowledged(owner) &&
         all_ranks(owner, [&](const EngineStatus& engine) {
           return engine.step >= decision.from_step;
         });
}

void DecideIfLoaded(MapOwner& owner, OwnerEffects& effects) {
  if (!owner.next || owner.phase != OwnerPhase::kOwning ||
      !is_last_switch_over(owner) ||
      !all_ranks(owner, [&](const EngineStatus& engine) {
        return engine.loaded.contains(owner.next->version);
      })) {
    return;
  }
  // A grant that is still under way, from this owner or a dead one, reaches at
  // most `window` past the last known step. Were from_step within that reach,
  // one rank could begin it with the old map before it heard of the new one.
  const Step from_step =
      owner.log.decision ? LastKnownStep(owner) + owner.window + 1 : 1;
  owner.wanted_log = owner.log;
  owner.wanted_log.decision = Decision{*owner.next, from_step};
  owner.phase = OwnerPhase::kDeciding;
  Swap(owner, effects);
}

// Grants only rise. While a decision is being written they stay as they are:
// `from_step` was chosen past all that were given.
void GrantIfAcknowledged(MapOwner& owner, OwnerEffects& effects) {
  if (owner.phase != OwnerPhase::kOwning || !is_acknowledged(owner)) {
    return;
  }
  const Step until = LastKnownStep(owner) + owner.window;
  // Half a window at a time, so that orders are few and the group never waits.
  if (until >= owner.granted_until + (owner.window + 1) / 2) {
    owner.granted_until = until;
    SendToAll(owner, effects);
  }
}

void AlarmIfAhead(const MapOwner& owner,
                  const MapReport& report,
                  OwnerEffects& effects) {
  if (report.engine.version > DecidedVersion(owner)) {
    effects.emplace_back(
        RaiseAlarm{MapAlarm::kRankIsAhead, std::to_string(report.rank)});
  }
}

void LookForSilentRanks(MapOwner& owner, TimePoint now, OwnerEffects& effects) {
  for (Rank rank = 0; rank < owner.ranks.size(); ++rank) {
    RankView& view = owner.ranks[rank];
    const bool is_silent = now - view.heard > kSilentRankAlarm;
    if (is_silent && !std::exchange(view.is_alarm_raised, true)) {
      effects.emplace_back(
          RaiseAlarm{MapAlarm::kRankIsSilent, std::to_string(rank)});
    }
  }
}

}  // namespace

std::string_view NameOf(MapAlarm alarm) {
  switch (alarm) {
    case MapAlarm::kRankIsSilent:
      return "rank_is_silent";
    case MapAlarm::kRankIsAhead:
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
  owner.ranks.assign(rank_count, RankView{.report = {}, .heard = now});
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
    // The next tick reads again. Until then grants given still hold, but the
    // log's state is not known, so nothing is decided.
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
  if (is_owning(owner) && found.incarnation != owner.log.incarnation) {
    FenceOff(owner, effects);
    return effects;
  }
  owner.log_version = stored.value().version;
  if (found == owner.wanted_log && owner.wanted_log.holder == owner.holder) {
    for (RankView& view : owner.ranks) {
      view.heard = std::max(view.heard, now - kSilentRankAlarm);
    }
    AcceptLog(owner, effects);
    StartProposed(owner, effects);
  } else if (owner.phase == OwnerPhase::kAcquiring) {
    Acquire(owner, std::move(found), effects);
  } else if (owner.phase == OwnerPhase::kDeciding) {
    Swap(owner, effects);
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
  // Taken place or lost to another: the log tells, and gives its new version.
  return {ReadLog{}};
}

OwnerEffects HandleMapReport(MapOwner& owner,
                             const MapReport& report,
                             TimePoint now) {
  OwnerEffects effects;
  // An answer to an earlier owner may be older than that owner's last grant.
  if (!is_owning(owner) || report.incarnation != owner.log.incarnation ||
      report.group != owner.group || report.rank >= owner.ranks.size()) {
    return effects;
  }
  RankView& view = owner.ranks[report.rank];
  view.heard = now;
  view.is_alarm_raised = false;
  AlarmIfAhead(owner, report, effects);
  // Reports that overtook each other must not take the known step back.
  if (!view.report || report.engine.step >= view.report->engine.step) {
    view.report = report;
  }
  DecideIfLoaded(owner, effects);
  GrantIfAcknowledged(owner, effects);
  return effects;
}

OwnerEffects HandleOwnerTick(MapOwner& owner, TimePoint now) {
  OwnerEffects effects;
  if (owner.phase == OwnerPhase::kAcquiring ||
      owner.phase == OwnerPhase::kDeciding) {
    effects.emplace_back(ReadLog{});
  }
  if (is_owning(owner)) {
    SendToAll(owner, effects);
    LookForSilentRanks(owner, now, effects);
    StartProposed(owner, effects);
  }
  return effects;
}

}  // namespace bramleyspan::expertmap
