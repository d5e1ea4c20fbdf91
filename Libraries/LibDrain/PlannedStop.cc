#include "LibDrain/PlannedStop.h"

#include <algorithm>

namespace bramleyspan::drain {

namespace {

// Time before the ending at which the address is closed, whoever uses it:
// callers whose connection is refused go elsewhere at once, others are told by
// an answer.
constexpr Duration kLastCall = std::chrono::seconds(1);
// Time before the bound at which the process ends, delivered or not. It has to
// be gone before it is killed.
constexpr Duration kLastMoment = std::chrono::milliseconds(250);
// A caller sends its next request on a kept connection within this time, or
// may not need it for long.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(300);

TimePoint LastMomentOf(const PlannedStop& stop) {
  return stop.began + stop.terms.bound - kLastMoment;
}

bool may_close_address(const PlannedStop& stop,
                       const StopWork& work,
                       TimePoint now) {
  if (now >= stop.ending_at() - kLastCall) {
    return true;
  }
  const bool is_quiet = now - work.last_request >= stop.terms.quiet;
  // Nobody has another address than the last process's: an answer tells its
  // callers when to come again, a refused connection does not.
  const bool sends_on = stop.has_refused && (work.has_others || work.open == 0);
  return now - stop.began >= stop.terms.notice && (is_quiet || sends_on);
}

StopPhase NextPhase(const PlannedStop& stop,
                    const StopWork& work,
                    bool is_recorded,
                    TimePoint now) {
  switch (stop.phase) {
    case StopPhase::kServing:
      return may_close_address(stop, work, now) ? StopPhase::kFinishing
                                                : StopPhase::kServing;
    case StopPhase::kFinishing:
      if (work.is_done() && is_recorded) {
        return StopPhase::kEnded;
      }
      return now >= stop.ending_at() ? StopPhase::kEnding
                                     : StopPhase::kFinishing;
    case StopPhase::kEnding: {
      const bool is_over = now >= LastMomentOf(stop);
      return is_over || (work.is_done() && is_recorded) ? StopPhase::kEnded
                                                        : StopPhase::kEnding;
    }
    case StopPhase::kEnded:
      break;
  }
  return StopPhase::kEnded;
}

}  // namespace

std::string_view NameOf(StopPhase phase) {
  switch (phase) {
    case StopPhase::kServing:
      return "serving";
    case StopPhase::kFinishing:
      return "finishing";
    case StopPhase::kEnding:
      return "ending";
    case StopPhase::kEnded:
      return "ended";
  }
  return "ended";
}

PlannedStop Begin(const StopTerms& terms, TimePoint now) {
  return {.terms = terms, .began = now};
}

bool can_end_in_time(const PlannedStop& stop, Duration takes, TimePoint now) {
  return now + takes <= stop.ending_at();
}

StopPhase Advance(PlannedStop& stop,
                  const StopWork& work,
                  bool is_recorded,
                  TimePoint now) {
  StopPhase before = stop.phase;
  do {
    before = stop.phase;
    stop.phase = NextPhase(stop, work, is_recorded, now);
  } while (stop.phase != before);
  return stop.phase;
}

bool has_reached_bound(const PlannedStop& stop,
                       StopPhase before,
                       const StopWork& work) {
  return before < StopPhase::kEnding &&
         (stop.phase == StopPhase::kEnding ||
          (stop.phase == StopPhase::kEnded && !work.is_done()));
}

Duration IdleBeforeClose(StopPhase phase) {
  return phase < StopPhase::kEnding ? kIdleBeforeClose : Duration(0);
}

Duration TimeUntilCheck(const PlannedStop& stop, TimePoint now) {
  Duration interval = kCheckInterval;
  for (const TimePoint border : {stop.ending_at(), LastMomentOf(stop)}) {
    if (border > now) {
      interval = std::min(interval, border - now);
    }
  }
  return interval;
}

}  // namespace bramleyspan::drain
