#include "LibGateway/PartRecord.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// Ends within this time of the first are those of one failure, such as that of
// an availability zone.
constexpr Duration kSameMoment = std::chrono::milliseconds(20);
// A quarantined part is tried after kFirstHold, and after a time kHoldFactor
// times as long with each failed trial.
constexpr Duration kFirstHold = std::chrono::seconds(60);
constexpr int kHoldFactor = 4;
constexpr Duration kMaxHold = std::chrono::hours(1);

}  // namespace

bool is_same_end(const TargetEnd& left, const TargetEnd& right) {
  return left.target == right.target &&
         std::chrono::abs(left.at - right.at) < kSameEnd;
}

bool has_end(const std::vector<TargetEnd>& ends, const TargetEnd& end) {
  return std::ranges::any_of(
      ends, [&end](const TargetEnd& known) { return is_same_end(known, end); });
}

bool AddEnd(std::vector<TargetEnd>& ends,
            const TargetEnd& end,
            size_t max_count) {
  const bool is_too_old = ends.size() == max_count && end.at <= ends.front().at;
  if (has_end(ends, end) || is_too_old) {
    return false;
  }
  ends.insert(
      std::ranges::upper_bound(ends, end.at, std::less<>(), &TargetEnd::at),
      end);
  if (ends.size() > max_count) {
    ends.erase(ends.begin());
  }
  return true;
}

size_t CountMoments(const std::vector<TargetEnd>& ends) {
  size_t count = 0;
  std::optional<TimePoint> moment;
  std::optional<TimePoint> last;
  for (const TargetEnd& end : ends) {
    const bool is_sent_later = last && end.sent_at && *end.sent_at >= *last;
    if (!moment || end.at - *moment > kSameMoment || is_sent_later) {
      ++count;
      moment = end.at;
    }
    last = end.at;
  }
  return count;
}

bool is_evidence(const PartRecord& record, const TargetEnd& end) {
  return !record.answered_at || end.at > *record.answered_at + kTrustDuration;
}

size_t CountEvidence(const PartRecord& record) {
  return static_cast<size_t>(std::ranges::count_if(
      record.ends,
      [&record](const TargetEnd& end) { return is_evidence(record, end); }));
}

bool has_evidence(const PartRecord& record) {
  return CountEvidence(record) > 0;
}

bool is_quarantined(const PartRecord& record) {
  return record.quarantined_at.has_value() && has_evidence(record);
}

TimePoint QuarantinedUntil(const PartRecord& record) {
  Duration hold = kFirstHold;
  for (uint32_t trial = 0; trial < record.failed_trials && hold < kMaxHold;
       ++trial) {
    hold *= kHoldFactor;
  }
  TimePoint since = record.ends.empty() ? TimePoint{} : record.ends.back().at;
  since = std::max(since, record.quarantined_at.value_or(since));
  since = std::max(since, record.trial_at.value_or(since));
  return since + std::min(hold, kMaxHold);
}

void MarkChanged(PartRecord& record, TimePoint now) {
  record.changed_at = now;
  record.reports = 0;
}

}  // namespace bramleyspan::gateway
