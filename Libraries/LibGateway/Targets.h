// The targets that a gateway knows, their recent failures, and the choice among
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
#include "LibGateway/EvacuatedZones.h"
#include "LibGateway/TargetSignals.h"

namespace bramleyspan::gateway {

// A target as the platform lists it.
struct Target {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  uint32_t slots = 1;
  bool is_leaving = false;
  // How much longer the target is cold, as of its record, and until when that
  // is by the time at which the record was received.
  Duration cold_for{};
  TimePoint cold_until;
  // The store's revision of this record.
  uint64_t revision = 0;
};

// State of a rank as its agent or its group's leader reports it.
struct RankView {
  std::string group;
  uint64_t epoch = 0;
  uint32_t rank = 0;
  uint32_t size = 0;
  bool is_open = true;
  // Factor by which the rank's work takes longer than usual.
  double pace = 1;
  // IP address of the rank's agent, which can be probed for permits.
  std::string agent_ip;
  TimePoint received_at;
};

struct TargetView {
  Target target;
  // Requests at the target that this gateway and the other gateways sent.
  uint32_t open = 0;
  uint32_t open_elsewhere = 0;
  // Number of recent failures as of `failures_at`; it decays over time.
  double failures = 0;
  TimePoint failures_at;
  // The server at this address answered that it is another one. Nothing is sent
  // there until the platform lists the target again.
  bool is_misdirected = false;
  // The target no longer runs at this address: it is misdirected, or a newer
  // target is listed there. Nothing is sent there.
  bool is_replaced = false;
  // A connection was refused or timed out: the target is used only as a last
  // resort until then.
  TimePoint avoided_until;
  std::optional<RankView> rank;

  uint32_t load() const { return this->open + this->open_elsewhere; }
};

struct TargetTable {
  std::map<std::string, TargetView> by_id;
  // By id of the target; kept while its record is missing.
  std::map<std::string, TargetSignals> signals;
  EvacuatedZones evacuated;
  // The services that the desired state names; nothing until one is known.
  std::optional<std::set<std::string>> services;
};

// Adds or updates a target that the platform lists; the state of a known target
// is kept. Older targets at the same address are replaced: after a power outage
// all servers of a site run again at their old addresses under new names, while
// the old names stay listed for seconds.
//
// Failure: another writer lists a service that no desired state names at the
// addresses of a service's servers, and all of them are taken for replaced. A
// target of such a service therefore replaces none, and neither does one that
// is misdirected.
void ApplyTarget(TargetTable& table, Target target);

// Takes over which services the desired state names.
void ApplyServices(TargetTable& table, std::set<std::string> services);
void RemoveTarget(TargetTable& table, const std::string& id);

// Limits the requests to a target while it is cold. `warm_up_rate` is that of
// its service. Returns whether it is cold and was not before.
bool ApplyWarmUp(TargetTable& table,
                 const std::string& id,
                 double warm_up_rate,
                 TimePoint now);

// Records that a target says in its answers that it leaves. It gets no further
// requests until the store has listed it as leaving or gone and then as usable.
// Returns whether that is new.
bool RecordLeaving(TargetTable& table, const std::string& id, TimePoint now);

bool has_announced_leaving(const TargetTable& table, const std::string& id);

// Whether the target runs and does not leave.
bool is_staying(const TargetTable& table, const TargetView& view);

// Whether requests may be sent to the target at all: it stays, and its zone is
// not evacuated.
bool is_usable(const TargetTable& table, const TargetView& view);

// Outcome of a request at a target, by which the next targets are chosen.
enum class Outcome {
  kGood,
  kFailed,
  kUnreachable,
  kMisdirected,
  // The target rejected the request and asked for a backoff; it is not failing.
  kBackedOff,
};
void RecordOutcome(TargetTable& table,
                   const std::string& id,
                   Outcome outcome,
                   TimePoint now);

// Forgets the signals of targets that are no longer listed and have sent none
// for a while.
void RemoveOldSignals(TargetTable& table, TimePoint now);

// Returns the decayed number of failures as of `now`.
double FailureScore(const TargetView& view, TimePoint now);

// Whether any of a service's ranks is known to be in an open group.
bool is_any_open(const TargetTable& table, std::string_view service);

// Whether the service has targets that stay, and all of them are in evacuated
// zones.
bool has_only_evacuated_targets(const TargetTable& table,
                                std::string_view service);

// Visits the targets of a service that may be sent requests. `excluded` are the
// ones that were tried already.
using TargetVisitor = std::function<void(const TargetView&)>;
void ForEachUsable(const TargetTable& table,
                   std::string_view service,
                   const std::set<std::string>& excluded,
                   const TargetVisitor& visit);

// Returns how many targets of the service may be sent requests.
size_t CountUsable(const TargetTable& table, std::string_view service);

// Returns until when no request is sent to the target because it asked for
// that; not later than `now` if one may be sent.
TimePoint HeldUntil(const TargetTable& table,
                    const std::string& target,
                    TimePoint now);

// Visits the usable targets that hold no requests back.
void ForEachAdmitting(const TargetTable& table,
                      std::string_view service,
                      const std::set<std::string>& excluded,
                      TimePoint now,
                      const TargetVisitor& visit);

// Returns the target of a service without engine that has the lowest load
// relative to its slots, with failures counted as load; null if there is none.
const TargetView* ChooseLeastLoaded(const TargetTable& table,
                                    std::string_view service,
                                    const std::set<std::string>& excluded,
                                    std::string_view own_zone,
                                    uint64_t random_bits,
                                    TimePoint now);

}  // namespace bramleyspan::gateway
