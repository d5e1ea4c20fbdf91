// Decides how many streams the rank beside an agent runs concurrently. A
// gateway needs a permit to start a stream. All ranks of a group advance in
// lock step, one pass at a time, so each further stream lengthens every pass;
// past a point every stream is late. A request without a permit waits at the
// gateway, where it costs no rank anything and can be refused while its caller
// still has time.
//
// The agent polls its rank's report every few ticks on the same machine, so it
// knows the load within milliseconds. A gateway's view of what the other
// gateways sent is a heartbeat old, and gateways that choose by such views all
// choose the same rank.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "Kernel/Time.h"
#include "LibAdmission/StreamCosts.h"

namespace bramleyspan::admission {

struct RankAdmissionSettings {
  // Streams that the rank's engine runs concurrently.
  uint32_t slots = 12;
  // The longest pause between two events of a stream that is not late. Each
  // pass yields one event.
  Duration longest_pause = std::chrono::milliseconds(120);
  // The duration of a pass with hardly any work.
  Duration min_pass = std::chrono::milliseconds(18);
};

// The load that the rank reports.
struct RankLoad {
  uint64_t epoch = 0;
  // The last pass that has begun.
  uint64_t step = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  // The factor by which the rank's own work takes longer than usual.
  double pace = 1;
  bool is_open = false;
};

// A pass and when it was first observed.
struct ObservedPass {
  uint64_t step = 0;
  TimePoint at;
};

// Identifies a permit taken before its stream runs, by the gateway's address
// and the gateway's own number.
struct Reservation {
  std::string gateway;
  uint64_t number = 0;

  auto operator<=>(const Reservation&) const = default;
};

struct RankAdmission {
  RankAdmissionSettings settings;
  RankLoad reported;
  TimePoint reported_at;
  // Permits taken by gateways whose streams have not begun. An engine counts a
  // stream only once it runs, 0.1 s after it arrived.
  std::map<Reservation, TimePoint> reservations;
  // The times of offers that no gateway may have taken yet.
  std::deque<TimePoint> open_offers;
  // Recent passes, the oldest first.
  std::deque<ObservedPass> passes;
  StreamCosts costs;
  // Whether the mean number of running streams has been close to the maximum.
  bool is_overloaded = false;
  // The limit on streams while no passes under their load have been observed.
  double start_limit = 0;
  // The time since which every pass has exceeded the longest pause; none if
  // passes are shorter.
  std::optional<TimePoint> slow_since;
  // Since when the rank has had work in the present pass.
  std::optional<TimePoint> working_since;
  // Whether the group was seen to stand: it began no pass though the rank had
  // work. Once that work is gone, an idle group and one that stands look the
  // same, so that a stream is let in from time to time to tell them apart.
  bool is_standing = false;
  TimePoint last_trial_at;
};

// An agent's answer to a gateway that requests a permit.
struct PermitOffer {
  bool is_admitting = false;
  // Set if every stream of the group has been late for a while because a rank
  // is slow.
  bool is_slow = false;
  uint32_t load = 0;
  double limit = 0;
  // The present duration of a pass; zero if nothing runs.
  Duration pass{};
};

// Applies the rank's newest report.
void RecordReport(RankAdmission& admission,
                  const RankLoad& load,
                  TimePoint now);

// Records that the rank's server refuses connections. No permit is granted
// until its next report.
void RecordServerEnd(RankAdmission& admission);

// Records a permit that a gateway took.
void RecordReservation(RankAdmission& admission,
                       Reservation reservation,
                       TimePoint now);

// Records a permit offered to a gateway that probes several ranks at once.
//
// All gateways with waiting requests probe at the same moment and, until the
// first reports what it took, would be offered the same free permits: ranks
// then far exceed their limit and passes make every stream late. An open offer
// therefore counts as the fraction of a permit that is expected to be taken,
// until the gateway has decided.
void RecordOffer(RankAdmission& admission, TimePoint now);

// Removes a reservation whose stream has begun or ended.
void RemoveReservation(RankAdmission& admission,
                       const Reservation& reservation);

// Returns the number of streams at the rank, including reservations but not
// open offers.
uint32_t LoadOf(const RankAdmission& admission);

// Returns the recent duration of a pass, including the one under way; zero if
// nothing runs.
Duration PassOf(const RankAdmission& admission, TimePoint now);

// Returns how many streams may run at once for passes to stay short enough. It
// is computed from the cost per stream in the last passes, so it is correct at
// once after a slow rank has recovered or the map has switched.
double LimitOf(const RankAdmission& admission, TimePoint now);

// Returns whether the rank grants a permit, and its load. A request that is
// late in any case (`is_late`) may also join a group whose streams are all
// late: a late answer is worth less than one in time but more than a refusal.
PermitOffer OfferOf(const RankAdmission& admission,
                    bool is_late,
                    TimePoint now);

}  // namespace bramleyspan::admission
