#include "LibGateway/Quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspan::gateway {

namespace {

// A part is quarantined after so many ends, if their square is at least the
// number of all ends of its service's targets since kLookBack before the first
// of them: the more targets end, the more parts are at two of them by chance.
// It is quarantined after certain_ends in any case.
constexpr size_t kMinEnds = 2;
constexpr Duration kLookBack = std::chrono::seconds(10);
constexpr size_t kMaxEndsPerPart = 4;
constexpr size_t kMaxEndsPerService = 64;
constexpr size_t kMaxRecentAnswers = 64;
constexpr size_t kMaxAnsweredParts = 4096;
// A record without evidence is kept for this time, until others know of it.
constexpr Duration kSettledLifetime = std::chrono::minutes(1);
// A state that has just changed is reported several times in a row, since
// datagrams get lost; quarantines also periodically, to new gateways.
constexpr uint32_t kReportsOfChange = 3;
constexpr Duration kReportInterval = std::chrono::seconds(1);

uint64_t HashOf(const PartKey& key) {
  return XXH64(key.part.data(), key.part.size(),
               XXH64(key.service.data(), key.service.size(), 0));
}

// Whether another part that is quarantined explains the end of a target, and
// more ends than this part does.
bool is_explained(const Quarantine& quarantine,
                  const PartKey& key,
                  const PartRecord& own,
                  const TargetEnd& end) {
  return std::ranges::any_of(quarantine.records, [&](const auto& item) {
    const auto& [other, record] = item;
    return is_quarantined(record) && other.service == key.service &&
           other.part != key.part &&
           CountEvidence(record) > CountEvidence(own) &&
           has_end(record.ends, end);
  });
}

std::vector<TargetEnd> EvidenceOf(const Quarantine& quarantine,
                                  const PartKey& key,
                                  const PartRecord& record) {
  std::vector<TargetEnd> ends;
  for (const TargetEnd& end : record.ends) {
    const bool counts =
        is_evidence(record, end) &&
        (is_quarantined(record) || !is_explained(quarantine, key, record, end));
    if (counts) {
      ends.push_back(end);
    }
  }
  return ends;
}

// Whether answers to requests with the part, or without it, began lately.
bool has_begun(const ServiceHistory& history,
               const std::string& part,
               bool is_with_part,
               TimePoint now) {
  return std::ranges::any_of(history.answers, [&](const RecentAnswer& answer) {
    const bool has_part =
        std::ranges::find(answer.parts, part) != answer.parts.end();
    return now - answer.at < kTrustDuration && has_part == is_with_part;
  });
}

// Returns how many ends quarantine the part. Without other answers, as after a
// loss of power, something else may be the cause. An answer that began may
// still end its target, but speaks for the part.
std::optional<size_t> MinEndsOf(const QuarantineRules& rules,
                                const ServiceHistory& history,
                                const std::string& part,
                                TimePoint now) {
  if (!rules.is_shared) {
    return kMinEnds;
  }
  if (!has_begun(history, part, false, now)) {
    return std::nullopt;
  }
  return has_begun(history, part, true, now) ? rules.certain_ends : kMinEnds;
}

// Returns the number of ends under the part if they suffice for a quarantine,
// otherwise 0.
size_t EndsForQuarantine(const Quarantine& quarantine,
                         const PartKey& key,
                         const PartRecord& record,
                         TimePoint now) {
  if (record.ends.size() < kMinEnds || !record.has_own_end ||
      is_quarantined(record)) {
    return 0;
  }
  const std::vector<TargetEnd> ends = EvidenceOf(quarantine, key, record);
  const size_t moments = CountMoments(ends);
  // Copies of one request may be at several targets at once; those say more
  // once there was a second moment.
  const size_t count = !quarantine.rules.is_shared && moments >= kMinEnds
                           ? ends.size()
                           : moments;
  const auto history = quarantine.services.find(key.service);
  const std::optional<size_t> min_ends =
      history == quarantine.services.end()
          ? std::nullopt
          : MinEndsOf(quarantine.rules, history->second, key.part, now);
  if (!min_ends || count < *min_ends) {
    return 0;
  }
  std::vector<TargetEnd> others;
  for (const TargetEnd& end : history->second.ends) {
    if (end.at > ends.front().at - kLookBack &&
        !is_explained(quarantine, key, record, end)) {
      others.push_back(end);
    }
  }
  // A request that is repeated at once ends up at several targets of a zone
  // that fails.
  const size_t all =
      quarantine.rules.is_shared ? CountMoments(others) : others.size();
  const bool is_certain = count >= quarantine.rules.certain_ends;
  return all <= count * count || is_certain ? count : 0;
}

// Quarantines the parts that explain the most ends, until none is left that
// explains enough.
std::vector<PartKey> QuarantineParts(Quarantine& quarantine, TimePoint now) {
  std::vector<PartKey> quarantined;
  while (true) {
    size_t most = 0;
    std::vector<PartKey> found;
    for (const auto& [key, record] : quarantine.records) {
      const size_t ends = EndsForQuarantine(quarantine, key, record, now);
      if (ends > most) {
        most = ends;
        found.clear();
      }
      if (ends > 0 && ends == most) {
        found.push_back(key);
      }
    }
    const auto in_force = static_cast<size_t>(std::ranges::count_if(
        quarantine.records,
        [](const auto& item) { return is_quarantined(item.second); }));
    const size_t room = quarantine.rules.max_quarantined -
                        std::min(in_force, quarantine.rules.max_quarantined);
    found.resize(std::min(found.size(), room));
    if (found.empty()) {
      return quarantined;
    }
    for (const PartKey& key : found) {
      PartRecord& record = quarantine.records.at(key);
      record.quarantined_at = now;
      record.failed_trials = 0;
      MarkChanged(record, now);
      quarantined.push_back(key);
    }
  }
}

std::optional<TimePoint> AnsweredAt(const AnsweredParts& answered,
                                    const PartKey& key) {
  const uint64_t hash = HashOf(key);
  for (const auto* half : {&answered.newer, &answered.older}) {
    const auto found = half->find(hash);
    if (found != half->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void RecordAnswered(AnsweredParts& answered,
                    const PartKey& key,
                    TimePoint now) {
  if (answered.newer.size() >= kMaxAnsweredParts / 2) {
    answered.older = std::exchange(answered.newer, {});
  }
  answered.newer[HashOf(key)] = now;
}

// Returns the record of a part, or null if there is no room. A new record takes
// the place of the one with the least evidence, never of a quarantined one.
PartRecord* FindOrAdd(Quarantine& quarantine, const PartKey& key) {
  const auto found = quarantine.records.find(key);
  if (found != quarantine.records.end()) {
    return &found->second;
  }
  if (quarantine.records.size() >= quarantine.rules.max_records) {
    auto least = quarantine.records.end();
    for (auto item = quarantine.records.begin();
         item != quarantine.records.end(); ++item) {
      const auto weight_of = [](const PartRecord& record) {
        return std::pair(has_evidence(record) ? record.ends.size() : 0,
                         record.changed_at);
      };
      if (!is_quarantined(item->second) &&
          (least == quarantine.records.end() ||
           weight_of(item->second) < weight_of(least->second))) {
        least = item;
      }
    }
    if (least == quarantine.records.end() || least->second.ends.size() > 1) {
      return nullptr;
    }
    quarantine.records.erase(least);
  }
  PartRecord& record = quarantine.records[key];
  record.answered_at = AnsweredAt(quarantine.answered, key);
  return &record;
}

// Whether this gateway tells others of a change of the record. Of single
// requests, which may be many, each gateway tells what it saw itself.
bool is_news(const QuarantineRules& rules, const PartRecord& record) {
  return rules.is_shared || record.has_own_end || is_quarantined(record) ||
         !has_evidence(record);
}

template <typename Value>
bool TakeLater(std::optional<Value>& own, const std::optional<Value>& other) {
  if (!other || (own && *own >= *other)) {
    return false;
  }
  own = other;
  return true;
}

}  // namespace

bool is_answered_lately(const Quarantine& quarantine,
                        const PartKey& key,
                        TimePoint now) {
  const auto answered_at = AnsweredAt(quarantine.answered, key);
  return answered_at && now - *answered_at < kTrustDuration;
}

size_t CountEnds(const Quarantine& quarantine, const PartKey& key) {
  const auto found = quarantine.records.find(key);
  return found == quarantine.records.end()
             ? 0
             : CountMoments(EvidenceOf(quarantine, key, found->second));
}

std::vector<PartKey> RecordTargetEnd(Quarantine& quarantine,
                                     const std::string& service,
                                     const TargetEnd& end,
                                     const std::vector<std::string>& parts,
                                     TimePoint now) {
  AddEnd(quarantine.services[service].ends, end, kMaxEndsPerService);
  for (const std::string& part : parts) {
    const PartKey key{service, part};
    if (is_answered_lately(quarantine, key, end.at)) {
      continue;
    }
    PartRecord* record = FindOrAdd(quarantine, key);
    if (record == nullptr) {
      continue;
    }
    record->has_own_end = true;
    if (std::exchange(record->is_trial_open, false)) {
      ++record->failed_trials;
      MarkChanged(*record, now);
    }
    if (AddEnd(record->ends, end, kMaxEndsPerPart)) {
      MarkChanged(*record, now);
    }
  }
  return QuarantineParts(quarantine, now);
}

std::vector<PartKey> RecordAnswerBegin(Quarantine& quarantine,
                                       const std::string& service,
                                       const std::vector<std::string>& parts,
                                       TimePoint now) {
  auto& answers = quarantine.services[service].answers;
  answers.push_back({.at = now, .parts = parts});
  if (answers.size() > kMaxRecentAnswers) {
    answers.pop_front();
  }
  return quarantine.records.empty() ? std::vector<PartKey>()
                                    : QuarantineParts(quarantine, now);
}

std::vector<PartKey> RecordAnswer(Quarantine& quarantine,
                                  const std::string& service,
                                  const std::vector<std::string>& parts,
                                  TimePoint now) {
  std::vector<PartKey> cleared;
  for (const std::string& part : parts) {
    const PartKey key{service, part};
    if (quarantine.rules.is_shared) {
      RecordAnswered(quarantine.answered, key, now);
    }
    const auto found = quarantine.records.find(key);
    if (found == quarantine.records.end()) {
      continue;
    }
    PartRecord& record = found->second;
    if (has_evidence(record)) {
      cleared.push_back(key);
      MarkChanged(record, now);
    }
    record.answered_at = now;
    record.is_trial_open = false;
  }
  return cleared;
}

PartDecision AdmitParts(const Quarantine& quarantine,
                        const std::string& service,
                        const std::vector<std::string>& parts,
                        TimePoint now) {
  PartDecision decision;
  if (quarantine.records.empty()) {
    return decision;
  }
  for (const std::string& part : parts) {
    const auto found = quarantine.records.find({service, part});
    if (found == quarantine.records.end() || !is_quarantined(found->second)) {
      continue;
    }
    const TimePoint until = QuarantinedUntil(found->second);
    if (decision.verdict == PartVerdict::kAdmitted || until > decision.until) {
      decision = {
          .verdict = until > now ? PartVerdict::kRejected : PartVerdict::kTrial,
          .part = part,
          .until = until};
    }
  }
  return decision;
}

void RecordTrial(Quarantine& quarantine,
                 const std::string& service,
                 const std::vector<std::string>& parts,
                 TimePoint now) {
  for (const std::string& part : parts) {
    const auto found = quarantine.records.find({service, part});
    if (found != quarantine.records.end() && is_quarantined(found->second)) {
      found->second.trial_at = now;
      found->second.is_trial_open = true;
      MarkChanged(found->second, now);
    }
  }
}

bool may_repeat(const Quarantine& quarantine,
                const std::string& service,
                const std::vector<std::string>& parts) {
  return std::ranges::none_of(parts, [&](const std::string& part) {
    const auto found = quarantine.records.find({service, part});
    // Copies of a single request may be at several targets at once.
    const size_t ends = found == quarantine.records.end() ? 0
                        : quarantine.rules.is_shared
                            ? CountEnds(quarantine, found->first)
                            : CountEvidence(found->second);
    return ends >= kMinEnds;
  });
}

MergeResult MergePart(Quarantine& quarantine,
                      const PartKey& key,
                      const PartRecord& reported,
                      TimePoint now) {
  MergeResult result;
  PartRecord* record = FindOrAdd(quarantine, key);
  if (record == nullptr) {
    return result;
  }
  const bool was_quarantined = is_quarantined(*record);
  const bool had_evidence = has_evidence(*record);
  for (const TargetEnd& end : reported.ends) {
    AddEnd(quarantine.services[key.service].ends, end, kMaxEndsPerService);
    result.is_changed |= AddEnd(record->ends, end, kMaxEndsPerPart);
  }
  TakeLater(record->answered_at, reported.answered_at);
  if (!was_quarantined) {
    result.is_changed |=
        TakeLater(record->quarantined_at, reported.quarantined_at);
  }
  if (reported.trial_at &&
      (!record->trial_at ||
       *reported.trial_at - *record->trial_at > kSameEnd)) {
    record->trial_at = reported.trial_at;
    result.is_changed = true;
  }
  if (reported.failed_trials > record->failed_trials) {
    record->failed_trials = reported.failed_trials;
    result.is_changed = true;
  }
  result.is_changed |= had_evidence != has_evidence(*record);
  if (result.is_changed) {
    MarkChanged(*record, now);
  }
  // Reports of many single requests arrive at once, and most change nothing
  // here.
  const bool may_begin =
      quarantine.rules.is_shared || (result.is_changed && record->has_own_end &&
                                     record->ends.size() >= kMinEnds);
  if (may_begin) {
    result.quarantined_here = QuarantineParts(quarantine, now);
  }
  const PartRecord& merged = quarantine.records.at(key);
  result.is_quarantined = !was_quarantined && is_quarantined(merged);
  result.is_released = was_quarantined && !is_quarantined(merged);
  result.is_refuted = has_evidence(reported) && !has_evidence(merged);
  return result;
}

bool has_unreported(const Quarantine& quarantine) {
  return std::ranges::any_of(quarantine.records, [&](const auto& item) {
    return item.second.reports == 0 && is_news(quarantine.rules, item.second);
  });
}

std::vector<PartKey> TakePartReports(Quarantine& quarantine,
                                     size_t max_count,
                                     TimePoint now) {
  struct Order {
    uint32_t reports = 0;
    bool has_few_ends = false;
    TimePoint reported_at;
    auto operator<=>(const Order&) const = default;
  };
  std::vector<std::pair<Order, PartKey>> due;
  for (const auto& [key, record] : quarantine.records) {
    const bool is_changed =
        record.reports < kReportsOfChange && is_news(quarantine.rules, record);
    const bool is_periodic =
        is_quarantined(record) && now - record.reported_at >= kReportInterval;
    if (is_changed || is_periodic) {
      due.emplace_back(
          Order{.reports = std::min(record.reports, kReportsOfChange),
                .has_few_ends = record.ends.size() < kMinEnds,
                .reported_at = record.reported_at},
          key);
    }
  }
  std::ranges::sort(due);
  std::vector<PartKey> keys;
  for (const auto& [order, key] : due) {
    if (keys.size() == max_count) {
      break;
    }
    PartRecord& record = quarantine.records.at(key);
    ++record.reports;
    record.reported_at = now;
    keys.push_back(key);
  }
  return keys;
}

bool ReleasePart(Quarantine& quarantine, const PartKey& key, TimePoint now) {
  const auto found = quarantine.records.find(key);
  const bool was_quarantined =
      found != quarantine.records.end() && is_quarantined(found->second);
  if (was_quarantined) {
    // Unlike an answer this says nothing of ends to come.
    found->second.answered_at = now - kTrustDuration;
    MarkChanged(found->second, now);
  }
  return was_quarantined;
}

void RemoveOldParts(Quarantine& quarantine, TimePoint now) {
  std::erase_if(quarantine.records, [&quarantine, now](const auto& item) {
    const PartRecord& record = item.second;
    const Duration lifetime = has_evidence(record)
                                  ? quarantine.rules.evidence_lifetime
                                  : kSettledLifetime;
    return now - record.changed_at > lifetime;
  });
}

}  // namespace bramleyspan::gateway
