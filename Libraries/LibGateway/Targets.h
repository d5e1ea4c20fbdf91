// The targets that an entry knows, how they fared lately, and the choice among
// them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Kernel/Address.h"
#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// A target as the platform lists it.
struct Target {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  uint32_t slots = 1;
  bool is_leaving = false;
  // The store's revision of this record.
  uint64_t revision = 0;
};

// What an agent says of the rank beside it.
struct RankView {
  std::string group;
  uint64_t epoch = 0;
  uint32_t rank = 0;
  uint32_t size = 0;
  bool is_open = true;
  // How many times as long as usual the rank's work takes.
  double pace = 1;
  // The agent that told this; it can be asked for a place.
  std::string agent_ip;
  TimePoint received_at;
};

struct TargetView {
  Target target;
  // Requests of this entry that the target has, and of the other entries.
  uint32_t open = 0;
  uint32_t open_elsewhere = 0;
  // Failures count less as they grow older.
  double failures = 0;
  TimePoint failures_at;
  // Another target has its address now, or said so itself: nothing is sent
  // there until the platform lists it anew.
  bool is_replaced = false;
  // After a connection was refused or timed out, nothing is sent until then.
  TimePoint avoided_until;
  std::optional<RankView> rank;

  uint32_t load() const { return this->open + this->open_elsewhere; }
};

struct TargetTable {
  std::map<std::string, TargetView> by_id;
};

// Takes what the platform lists; the view of a known target is kept. Targets
// that were listed before at the same address are replaced by it: all servers
// of a site that lost power come back at their addresses with new names, while
// the old names stay listed for seconds.
void ApplyTarget(TargetTable& table, Target target);
void RemoveTarget(TargetTable& table, const std::string& id);

// How a request at a target ended, for choosing the next one.
enum class Outcome { kGood, kFailed, kUnreachable, kMisdirected };
void NoteOutcome(TargetTable& table,
                 const std::string& id,
                 Outcome outcome,
                 TimePoint now);

// Failures as they count now.
double FailureScore(const TargetView& view, TimePoint now);

// Whether any of a service's ranks is known to be in an open group.
bool is_any_open(const TargetTable& table, std::string_view service);

// Targets of a service that may get work; `excluded` were tried already.
using TargetVisitor = std::function<void(const TargetView&)>;
void ForEachUsable(const TargetTable& table,
                   std::string_view service,
                   const std::set<std::string>& excluded,
                   const TargetVisitor& visit);

// The target of a plain service with the least load for its slots, failures
// counted as load; null if there is none.
const TargetView* ChooseLeastLoaded(const TargetTable& table,
                                    std::string_view service,
                                    const std::set<std::string>& excluded,
                                    std::string_view own_zone,
                                    uint64_t random_bits,
                                    TimePoint now);

}  // namespace bramleyspan::gateway
