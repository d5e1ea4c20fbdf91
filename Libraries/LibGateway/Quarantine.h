// Finds the part of prompts, or the single request, under which targets end,
// and keeps requests with it from all targets. It answers a fault that travels
// with requests: each target that a request reaches ends, and looks like the
// cause itself. A single request is a part that no other request has, its
// digest.
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
#include "LibGateway/PartRecord.h"

namespace bramleyspan::gateway {

// A part of prompts at the targets of one service.
struct PartKey {
  std::string service;
  std::string part;

  auto operator<=>(const PartKey&) const = default;
};

// An answer that began lately.
struct RecentAnswer {
  TimePoint at;
  std::vector<std::string> parts;
};

// What is known of all targets of a service.
struct ServiceHistory {
  // The ends of its targets, and the answers that began, the oldest first.
  std::vector<TargetEnd> ends;
  std::deque<RecentAnswer> answers;
};

// What differs between parts that requests share and single requests.
struct QuarantineRules {
  // Whether sound requests share the parts. Then answers speak for a part:
  // while they begin more ends are needed, a part that is answered is trusted
  // for a while, and none is suspected while no other request is answered.
  bool is_shared = true;
  // Ends after which a part is quarantined, however many targets end besides.
  size_t certain_ends = 4;
  size_t max_records = 256;
  size_t max_quarantined = 128;
  Duration evidence_lifetime = std::chrono::hours(24);
};

// Callers send a request again within minutes or not at all, and few of many
// that are lost matter.
inline constexpr QuarantineRules kRulesOfRequests{
    .is_shared = false,
    .certain_ends = 3,
    .max_records = 1024,
    .max_quarantined = 512,
    .evidence_lifetime = std::chrono::minutes(10)};

// When parts were last answered, by hash: the newer half and the older one.
struct AnsweredParts {
  std::unordered_map<uint64_t, TimePoint> newer;
  std::unordered_map<uint64_t, TimePoint> older;
};

struct Quarantine {
  QuarantineRules rules;
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

// Whether there is a change that was never reported.
bool has_unreported(const Quarantine& quarantine);

// Returns the parts, `max_count` at most, that are in the next message to other
// gateways, and counts them as reported. Changed ones come first, those with
// most ends before others.
std::vector<PartKey> TakePartReports(Quarantine& quarantine,
                                     size_t max_count,
                                     TimePoint now);

// Ends the quarantine of a part at an operator's request. Returns whether it
// was quarantined.
bool ReleasePart(Quarantine& quarantine, const PartKey& key, TimePoint now);

// Forgets parts without evidence, and evidence that is too old.
void RemoveOldParts(Quarantine& quarantine, TimePoint now);

}  // namespace bramleyspan::gateway
