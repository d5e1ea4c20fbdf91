// How many streams the rank beside an agent takes at once. All ranks of a group
// advance together, so that each further stream makes every pass longer; past
// a point every stream is late. What has no place waits at the gateway, where
// it costs no rank anything and can be refused while the caller has time left.
//
// The agent reads its rank's report every few ticks from its own machine, free
// and fresh, so that it knows the load within milliseconds; a gateway's own
// view of what the others sent is a heartbeat old, and gateways that choose by
// such views all send to the same rank.
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
  // Streams that the rank's engine runs at once.
  uint32_t slots = 12;
  // The longest pause between a stream's events that is on time. An event comes
  // with each pass.
  Duration longest_pause = std::chrono::milliseconds(120);
  // What a pass takes with hardly anything to do.
  Duration min_pass = std::chrono::milliseconds(18);
};

// What the rank says of itself.
struct RankLoad {
  uint64_t epoch = 0;
  // The last pass begun.
  uint64_t step = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  // How many times as long as usual the rank's own work takes.
  double pace = 1;
  bool is_open = false;
};

// A pass, and when it was first seen.
struct ObservedPass {
  uint64_t step = 0;
  TimePoint at;
};

// Names a place that was taken: the gateway's address and its own number.
struct Reservation {
  std::string gateway;
  uint64_t number = 0;

  auto operator<=>(const Reservation&) const = default;
};

struct RankAdmission {
  RankAdmissionSettings settings;
  RankLoad reported;
  TimePoint reported_at;
  // Places that gateways took whose streams have not begun. An engine counts a
  // stream only once it runs, a tenth of a second after it came.
  std::map<Reservation, TimePoint> reservations;
  // When places were offered that nobody may have taken yet.
  std::deque<TimePoint> open_offers;
  // Passes of the last moment, the oldest first.
  std::deque<ObservedPass> passes;
  StreamCosts costs;
  // Whether nearly all that may run has been running for a while.
  bool is_overloaded = false;
  // Streams taken at most while nothing is known of passes under their load.
  double start_limit = 0;
  // Since when every pass has been longer than a pause may be; none if they are
  // not.
  std::optional<TimePoint> slow_since;
};

// An agent's answer to a gateway that looks for a place.
struct PermitOffer {
  bool is_admitting = false;
  // Every stream of the group is late for a while, because a rank is slow.
  bool is_slow = false;
  uint32_t load = 0;
  double limit = 0;
  // How long a pass takes at present; zero if nothing runs.
  Duration pass{};
};

// Takes the rank's newest report.
void RecordReport(RankAdmission& admission,
                  const RankLoad& load,
                  TimePoint now);

// A gateway took a place.
void RecordReservation(RankAdmission& admission,
                       Reservation reservation,
                       TimePoint now);

// A place was offered to a gateway that asks several ranks at once.
//
// Failure: all that waited ask at the same moment, and until the first of them
// says what it took, each is offered the same empty places. It shows as ranks
// far above their limit and passes that make every stream late. So an offer
// counts for the part of a place that will be taken of it, until the gateway
// has decided.
void RecordOffer(RankAdmission& admission, TimePoint now);

// The stream that took it has begun or is over.
void RemoveReservation(RankAdmission& admission,
                       const Reservation& reservation);

// Streams at the rank, those on their way among them; offers that are open are
// not.
uint32_t LoadOf(const RankAdmission& admission);

// How long a pass took lately, the one under way included.
Duration PassOf(const RankAdmission& admission, TimePoint now);

// Streams that may run at once for passes to stay short enough. A pass grows
// with the streams by what the last ones took, so that the limit is right at
// once when a slow rank has recovered or the map has been switched.
double LimitOf(const RankAdmission& admission, TimePoint now);

// Whether there is a place. A stream that is late in any case (`is_late`) may
// also join a group whose streams are all late: that is worth less than one in
// time and more than a refusal.
PermitOffer OfferOf(const RankAdmission& admission,
                    bool is_late,
                    TimePoint now);

}  // namespace bramleyspan::admission
