// Decides the course of a planned stop of any role: until when the process
// takes work, when it closes its address, and when it may end.
//
//   serving    others may still have its address: it serves them
//   finishing  its address is closed; it serves the connections that are open,
//              each of which closes with its next answer or once it is idle
//   ending     the bound is near: what is still open ends in the best way that
//              is left, a failure or a cut
//   ended      the process may end
//
// Work that can't end before the ending is refused from the first moment: its
// caller can still go elsewhere.
#pragma once

#include <cstddef>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::drain {

// How often a process asks how its stop goes on, and says so in its log.
inline constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
inline constexpr Duration kLogInterval = std::chrono::seconds(1);

enum class StopPhase { kServing, kFinishing, kEnding, kEnded };

// Returns the stable name of a phase, such as "finishing".
std::string_view NameOf(StopPhase phase);

struct StopTerms {
  // For how long others may use an address that they know already.
  Duration notice{};
  // Time without a new request after which nobody seems to have the address.
  Duration quiet{};
  // Time from the signal until the platform kills the process.
  Duration bound{};
  // The last part of the bound, in which open work is ended and the ends are
  // delivered.
  Duration reserve = std::chrono::milliseconds(500);
};

// What the process is busy with.
struct StopWork {
  // Requests that have no whole answer yet.
  size_t open = 0;
  // Those of them that were sent nowhere yet.
  size_t waiting = 0;
  // Requests that are still coming.
  size_t reading = 0;
  // Answers that were not taken as a whole by their callers' machines.
  size_t delivering = 0;
  // Connections on which a further request may come.
  size_t idle = 0;
  // Whether other processes that go on can do the work that this one refuses.
  bool has_others = false;
  TimePoint last_request;

  bool is_done() const {
    return this->open == 0 && this->reading == 0 && this->delivering == 0 &&
           this->idle == 0;
  }
};

struct PlannedStop {
  StopTerms terms;
  TimePoint began;
  StopPhase phase = StopPhase::kServing;
  // Whether work was refused since it would not have ended in time.
  bool has_refused = false;

  // When open work is ended.
  TimePoint ending_at() const {
    return this->began + this->terms.bound - this->terms.reserve;
  }
};

PlannedStop Begin(const StopTerms& terms, TimePoint now);

// Whether work that takes so long ends before the ending.
bool can_end_in_time(const PlannedStop& stop, Duration takes, TimePoint now);

// Moves on to the phase that follows from the work, several if the process
// stood meanwhile. What the process has counted is written last: `is_recorded`
// says that it is.
StopPhase Advance(PlannedStop& stop,
                  const StopWork& work,
                  bool is_recorded,
                  TimePoint now);

// Whether open work has to be ended, since the bound has come near: to be asked
// when a phase has ended, with the phase before.
bool has_reached_bound(const PlannedStop& stop,
                       StopPhase before,
                       const StopWork& work);

// Returns for how long a connection has to be idle before it is closed, once
// the address is.
Duration IdleBeforeClose(StopPhase phase);

// Returns after what time to ask again: kCheckInterval, or less if a moment
// comes before that at which the phase changes whatever the work.
Duration TimeUntilCheck(const PlannedStop& stop, TimePoint now);

}  // namespace bramleyspan::drain
