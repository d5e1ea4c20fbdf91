// Limits repeats: requests that are sent to a further target after an attempt
// failed. The budget covers all gateways together over any span of its window,
// also those that ended in it. Gateways report to each other what they have
// repeated; those that hear each other use what is left together, and leave
// those that they don't hear their even share.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibGateway/RepeatHistory.h"

namespace bramleyspan::gateway {

struct RepeatBudgetSettings {
  // Repeats allowed per request.
  double ratio = 0.1;
  // Repeats allowed in addition, for all gateways together.
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

// What one incarnation of a gateway has repeated, as it reported last.
struct RepeatRecord {
  std::string gateway;
  uint64_t incarnation = 0;
  TimePoint started_at;
  TimePoint written_at;
  // When it was last received from the gateway itself.
  TimePoint heard_at;
  // Whether it received reports of this gateway a moment before.
  bool hears_us = false;
  // Whether the process has ended after this report.
  bool is_final = false;
  std::map<std::string, RepeatHistory> services;
};

struct RepeatBudget {
  RepeatBudgetSettings settings;
  RepeatRecord own;
  // By incarnation; also those that have ended.
  std::map<uint64_t, RepeatRecord> others;
  // All repeats since then are in the records, or belong to gateways that are
  // not heard.
  TimePoint known_since;
  // By service: repeats that are allowed and not yet sent, and when the last
  // ones were allowed, of which other gateways may not know.
  std::map<std::string, uint32_t> reserved;
  std::map<std::string, std::deque<TimePoint>> recent;
};

// The state of the budget of a service, as far as this gateway may use it.
struct RepeatUse {
  uint32_t requests = 0;
  // Repeats of this gateway, and of all records together.
  uint32_t own_repeats = 0;
  uint32_t repeats = 0;
  // Repeats that all gateways together may have in the window, without what is
  // left to gateways that are not heard.
  double allowed = 0;
  // Gateways that may be running, and those that use what is left together;
  // both with this one.
  size_t gateways = 1;
  size_t sharing = 1;
  // Whether all repeats of the window are known.
  bool is_known = false;
  // Whether one more may be sent.
  bool has_repeat = false;
};

// Begins the records of an incarnation. Nothing was repeated before if
// `is_first_start`, since there was no gateway yet.
void StartRepeats(RepeatBudget& budget,
                  const std::string& gateway,
                  uint64_t incarnation,
                  bool is_first_start,
                  TimePoint now);

// Takes changed settings. What was recorded by another window is dropped.
void ChangeSettings(RepeatBudget& budget,
                    const RepeatBudgetSettings& settings,
                    TimePoint now);

// Returns how long a repeat counts at most.
Duration CountedFor(const RepeatBudgetSettings& settings);

// Records a request of a caller for the service.
void RecordRequest(RepeatBudget& budget,
                   const std::string& service,
                   TimePoint now);

// `others` are the other gateways that may be running.
RepeatUse FindRepeatUse(const RepeatBudget& budget,
                        const std::string& service,
                        const std::set<std::string>& others,
                        TimePoint now);

// Reserves a repeat if one is left: if `has_repeat` is set in the use by which
// it was decided. A reserved repeat is either sent or released.
RepeatUse ReserveRepeat(RepeatBudget& budget,
                        const std::string& service,
                        const std::set<std::string>& others,
                        TimePoint now);
void RecordRepeatSent(RepeatBudget& budget,
                      const std::string& service,
                      TimePoint now);
void ReleaseRepeat(RepeatBudget& budget, const std::string& service);

// Returns the own record as others need it: with the reserved repeats, and only
// services with repeats.
RepeatRecord DescribeOwnRepeats(const RepeatBudget& budget, TimePoint now);

// Whether reports of this incarnation were received a moment before.
bool is_heard(const RepeatRecord& record, TimePoint now);

// Merges a record that was received, in any order. `is_direct` says that the
// gateway itself sent it.
void MergeRepeats(RepeatBudget& budget,
                  const RepeatRecord& record,
                  bool is_direct,
                  TimePoint now);

// Takes over from a gateway that sent all its records since when they are
// complete. Returns whether more is known now.
bool LearnRepeatsSince(RepeatBudget& budget, TimePoint known_since);

// Whether the records cover the whole window.
bool is_window_known(const RepeatBudget& budget, TimePoint now);

// Removes records without anything in the window.
void RemoveOldRepeats(RepeatBudget& budget, TimePoint now);

}  // namespace bramleyspan::gateway
