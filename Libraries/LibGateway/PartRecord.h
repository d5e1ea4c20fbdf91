// What is known of a part since targets ended under it: the evidence against
// it, and its quarantine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// A part is not suspected for this time after a request with it was answered.
inline constexpr Duration kTrustDuration = std::chrono::seconds(30);
// Reports of one target's end differ by less than this. A target that has ended
// is back later.
inline constexpr Duration kSameEnd = std::chrono::seconds(1);

struct TargetEnd {
  std::string target;
  TimePoint at;
  // When the request that was lost was sent there, if that is known.
  std::optional<TimePoint> sent_at;
};

// What is known of a part since a target ended under it.
struct PartRecord {
  // The newest ends of targets under the part, the oldest first.
  std::vector<TargetEnd> ends;
  // When a request with the part was last answered.
  std::optional<TimePoint> answered_at;
  std::optional<TimePoint> quarantined_at;
  // When a request with the quarantined part was last let through, and how
  // often a target ended under such a request.
  std::optional<TimePoint> trial_at;
  uint32_t failed_trials = 0;
  // Known to this gateway only: whether it saw such an end itself, whether it
  // sent the last trial and that is not decided, and how many requests with the
  // part it rejected.
  bool has_own_end = false;
  bool is_trial_open = false;
  uint64_t rejected = 0;
  // How often the present state was reported to other gateways, and when last.
  uint32_t reports = 0;
  TimePoint reported_at;
  TimePoint changed_at;
};

// Whether requests with the part are kept from targets.
bool is_quarantined(const PartRecord& record);

// Returns when the part is tried again.
TimePoint QuarantinedUntil(const PartRecord& record);

bool is_same_end(const TargetEnd& left, const TargetEnd& right);

// Whether the list has the end already.
bool has_end(const std::vector<TargetEnd>& ends, const TargetEnd& end);

// Adds an end to a list in order of time, which keeps the newest `max_count`.
// Returns whether it is new.
bool AddEnd(std::vector<TargetEnd>& ends,
            const TargetEnd& end,
            size_t max_count);

// Returns the number of ends, those of one moment counted once: they may be one
// failure. An end under a request that was sent after the end before is another
// one.
size_t CountMoments(const std::vector<TargetEnd>& ends);

// Whether the end is evidence against the part: no request with it was answered
// afterwards or shortly before.
bool is_evidence(const PartRecord& record, const TargetEnd& end);
size_t CountEvidence(const PartRecord& record);
bool has_evidence(const PartRecord& record);

// Records that the state of the part has changed, so that it is reported.
void MarkChanged(PartRecord& record, TimePoint now);

}  // namespace bramleyspan::gateway
