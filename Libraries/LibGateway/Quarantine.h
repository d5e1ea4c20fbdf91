// Finds the part of prompts under which targets end, and keeps requests with it
// from all targets. It answers a fault that travels with requests: each target
// that a request reaches ends, and looks like the cause itself.
//
// Evidence are ends of targets at which a request with the part had not been
// answered. A part that was answered lately is never suspected. Gateways merge
// what they know in any order. A quarantined part is let through once in a
// while, in one request at a time.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// A part of prompts at the targets of one service.
struct PartKey {
  std::string service;
  std::string part;

  auto operator<=>(const PartKey&) const = default;
};

struct TargetEnd {
  std::string target;
  TimePoint at;
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

// An answer that began lately.
struct RecentAnswer {
  TimePoint at;
  std::vector<std::string> parts;
};

// What is known of all targets of a service.
struct ServiceHistory {
  // The ends of its targets, and the answers that began, the oldest first.
  std::deque<TargetEnd> ends;
  std::deque<RecentAnswer> answers;
};

// When parts were last answered, by hash: the newer half and the older one.
struct AnsweredParts {
  std::unordered_map<uint64_t, TimePoint> newer;
  std::unordered_map<uint64_t, TimePoint> older;
};

struct Quarantine {
  std::map<PartKey, PartRecord> records;
  std::map<std::string, ServiceHistory> services;
  AnsweredParts answered;
};

// Records that a target ended, with the parts of the requests there that had
// not been answered. Returns the parts that are quarantined from now on.
std::vector<PartKey> RecordTargetEnd(Quarantine& quarantine,
                                     const std::string& service,
                                     const TargetEnd& end,
                                     const std::vector<std::string>& parts,
                                     TimePoint now);

// Records that an answer began. Returns the parts that are quarantined from now
// on.
std::vector<PartKey> RecordAnswerBegin(Quarantine& quarantine,
                                       const std::string& service,
                                       const std::vector<std::string>& parts,
                                       TimePoint now);

// Records that a target has answered a request and not ended under it. Returns
// the parts that were suspected or quarantined until now.
std::vector<PartKey> RecordAnswer(Quarantine& quarantine,
                                  const std::string& service,
                                  const std::vector<std::string>& parts,
                                  TimePoint now);

// Whether requests with the part were answered lately.
bool is_answered_lately(const Quarantine& quarantine,
                        const PartKey& key,
                        TimePoint now);

// Whether requests with the part are kept from targets.
bool is_quarantined(const PartRecord& record);

// Returns the number of ends of targets that only this part explains. Ends at
// one moment count once.
size_t CountEnds(const Quarantine& quarantine, const PartKey& key);

enum class PartVerdict {
  kAdmitted,
  // The request may be sent to one target, to try its quarantined part.
  kTrial,
  kRejected,
};

struct PartDecision {
  PartVerdict verdict = PartVerdict::kAdmitted;
  // The part that is the cause, and when it is tried again.
  std::string part;
  TimePoint until;
};

// Decides about a request before it is sent to a target.
PartDecision AdmitParts(const Quarantine& quarantine,
                        const std::string& service,
                        const std::vector<std::string>& parts,
                        TimePoint now);

// Records that a request is sent to try its quarantined parts.
void RecordTrial(Quarantine& quarantine,
                 const std::string& service,
                 const std::vector<std::string>& parts,
                 TimePoint now);

// Whether a request that was lost with its target may be sent to another one.
bool may_repeat(const Quarantine& quarantine,
                const std::string& service,
                const std::vector<std::string>& parts);

// What a merge changed.
struct MergeResult {
  bool is_changed = false;
  bool is_quarantined = false;
  bool is_released = false;
  // Whether an answer that the sender does not know of clears the part. It
  // should be told soon.
  bool is_refuted = false;
  std::vector<PartKey> quarantined_here;
};

// Merges what another gateway, or the store, knows of a part.
MergeResult MergePart(Quarantine& quarantine,
                      const PartKey& key,
                      const PartRecord& reported,
                      TimePoint now);

// Returns the parts, `max_count` at most, that are in the next message to other
// gateways, and counts them as reported. Changed ones come first.
std::vector<PartKey> TakePartReports(Quarantine& quarantine,
                                     size_t max_count,
                                     TimePoint now);

// Ends the quarantine of a part at an operator's request. Returns whether it
// was quarantined.
bool ReleasePart(Quarantine& quarantine, const PartKey& key, TimePoint now);

// Forgets parts without evidence, and evidence that is too old.
void RemoveOldParts(Quarantine& quarantine, TimePoint now);

// Returns when the part is tried again.
TimePoint QuarantinedUntil(const PartRecord& record);

}  // namespace bramleyspan::gateway
