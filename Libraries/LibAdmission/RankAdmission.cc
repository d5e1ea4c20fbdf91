#include "LibAdmission/RankAdmission.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::admission {

namespace {

// The limit on streams is never below this.
constexpr double kMinLimit = 2;
// The limit on streams before any pass is observed: a re-formed group runs its
// first map, which does not match demand yet.
constexpr double kInitialLimit = 5;
// The limit grows by kLimitGrowthPerPass with each pass shorter than this
// fraction of the longest pause.
constexpr double kLimitGrowthPerPass = 0.25;
constexpr double kShortPassFraction = 0.7;
// The maximum number of streams as a fraction of the slots. Reading prompts and
// preparing maps need room beside the running streams.
constexpr double kMaxSlotFraction = 0.7;
// The limit stays at least this fraction of the slots where demand shifts make
// passes too long.
constexpr double kMinSlotFractionAtShifts = 0.5;
// The fraction of the longest pause that passes may take after a demand shift,
// until a matching map is in place.
constexpr double kShiftPassFraction = 0.92;
// A rank becomes overloaded above this fraction of the maximum, and stops being
// so below kRelievedFraction of the limit at shifts. Short bursts are better
// admitted.
constexpr double kOverloadedFraction = 0.8;
constexpr double kRelievedFraction = 0.7;
// The least number of running streams that the cost per stream is computed for,
// as a fraction of the slots. A rank with fewer has less load than its group.
constexpr double kMinRunningFraction = 0.45;
// The pass duration that the limit aims at, as a fraction of the longest pause.
// The margin keeps unusually long passes below the pause too.
constexpr double kPassBudgetFraction = 0.85;
// The window over which pass durations are averaged.
constexpr Duration kPassWindow = std::chrono::milliseconds(300);
// A reservation without a further report expires after this time: the gateway
// may have died, or its datagram may be lost.
constexpr Duration kReservationTimeout = std::chrono::milliseconds(800);
// No permit is granted on a report older than this.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);
// A demand shift makes passes long until copies arrive; a group counts as slow
// only after this time.
constexpr Duration kSlowDelay = std::chrono::milliseconds(700);
// A slow group admits late streams while passes take at most this many times
// the longest pause: the streams must end before their callers leave.
constexpr double kMaxSlowPassFactor = 1.6;
// Late streams fill at most this fraction of the limit, which leaves permits
// for streams in time. Gateways with only late requests waiting would otherwise
// take every free permit, and within a minute all streams would be late.
constexpr double kLateLimitFraction = 0.75;
// A rank whose pace reaches this grants no permits. Experts leave a rank at a
// lower pace already: moving them costs less than a rank without streams.
constexpr double kMaxPaceForPermits = 1.5;

// A gateway probes this many ranks at once and takes one permit.
constexpr double kProbesPerPermit = 6;
// A gateway decides within 6 ms, and its message takes 1 to 2 ms.
constexpr Duration kOfferLifetime = std::chrono::milliseconds(9);

// A group stands if it began no pass for this many times the longest pause.
constexpr int kStandingPauses = 3;
// Time between the streams that a rank of a standing group lets in. Each of
// them may wait in vain; all ranks together try several times a second.
constexpr Duration kTrialInterval = std::chrono::seconds(2);

double SecondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

double MaxLimitOf(const RankAdmission& admission) {
  return std::max(kMinLimit, kMaxSlotFraction * admission.settings.slots);
}

// Returns the mean duration of the recent passes without the one under way;
// zero if too few were observed.
Duration MeanPass(const RankAdmission& admission) {
  constexpr uint64_t kMinPasses = 2;
  if (admission.passes.empty()) {
    return Duration(0);
  }
  const ObservedPass& first = admission.passes.front();
  const ObservedPass& last = admission.passes.back();
  const uint64_t count = last.step - first.step;
  return count < kMinPasses
             ? Duration(0)
             : (last.at - first.at) / static_cast<int64_t>(count);
}

// Returns how many streams may run for passes to stay short enough after a
// demand shift too.
double LimitAtShifts(const RankAdmission& admission, TimePoint now) {
  const double cost = PeakCostOf(admission.costs, now);
  if (cost <= 0) {
    return MaxLimitOf(admission);
  }
  const double pass_budget =
      kShiftPassFraction * SecondsOf(admission.settings.longest_pause) -
      SecondsOf(admission.settings.min_pass);
  const double min_limit =
      std::max(kMinLimit, kMinSlotFractionAtShifts * admission.settings.slots);
  return std::clamp(pass_budget / cost, min_limit, MaxLimitOf(admission));
}

// Returns the number of open offers that are expected to be taken.
double ExpectedReservations(const RankAdmission& admission, TimePoint now) {
  const auto open =
      std::count_if(admission.open_offers.begin(), admission.open_offers.end(),
                    [now](TimePoint at) { return now - at <= kOfferLifetime; });
  // While a group opens, the first ranks to open are the only ones to offer
  // permits.
  const bool is_filling = admission.start_limit < MaxLimitOf(admission);
  return static_cast<double>(open) / (is_filling ? 1 : kProbesPerPermit);
}

// Resets the limit when a group opens. Its first passes hold no streams that
// generate tokens and are short; a limit computed from them admits all waiting
// requests at once, and a few passes later every stream is late.
void ResetStartLimitOnOpen(RankAdmission& admission, const RankLoad& load) {
  const RankLoad& before = admission.reported;
  const bool has_opened =
      load.is_open && (!before.is_open || load.epoch != before.epoch);
  if (has_opened) {
    admission.start_limit = kInitialLimit;
  }
}

void UpdateStanding(RankAdmission& admission,
                    const RankLoad& load,
                    TimePoint now) {
  const RankLoad& before = admission.reported;
  const bool is_moving =
      load.step != before.step || load.epoch != before.epoch || !load.is_open;
  if (is_moving) {
    admission.is_standing = false;
  }
  if (is_moving || load.running + load.queued == 0) {
    admission.working_since.reset();
  } else if (!admission.working_since) {
    admission.working_since = now;
  }
  const bool has_begun_to_stand =
      !admission.is_standing && admission.working_since &&
      now - *admission.working_since >
          admission.settings.longest_pause * kStandingPauses;
  if (has_begun_to_stand) {
    admission.is_standing = true;
    admission.last_trial_at = now;
  }
}

// Whether a stream may be let in to find out if the group still stands.
bool is_trial_due(const RankAdmission& admission, TimePoint now) {
  return LoadOf(admission) == 0 &&
         now - admission.last_trial_at > kTrialInterval;
}

void UpdateSlowness(RankAdmission& admission, TimePoint now) {
  if (PassOf(admission, now) < admission.settings.longest_pause) {
    admission.slow_since.reset();
  } else if (!admission.slow_since) {
    admission.slow_since = now;
  }
}

void UpdateCosts(RankAdmission& admission, Duration elapsed, TimePoint now) {
  RecordCost(admission.costs,
             {.running = admission.reported.running,
              .excess = MeanPass(admission) - admission.settings.min_pass,
              .elapsed = elapsed,
              .min_running = kMinRunningFraction * admission.settings.slots},
             now);
  const double running = admission.costs.mean_running;
  if (running > kOverloadedFraction * MaxLimitOf(admission)) {
    admission.is_overloaded = true;
  } else if (running < kRelievedFraction * LimitAtShifts(admission, now)) {
    admission.is_overloaded = false;
  }
}

}  // namespace

void RecordReport(RankAdmission& admission,
                  const RankLoad& load,
                  TimePoint now) {
  const bool has_work = load.running + load.queued > 0;
  const bool is_continuing = load.epoch == admission.reported.epoch &&
                             load.step >= admission.reported.step && has_work;
  if (!is_continuing) {
    admission.passes.clear();
  }
  ResetStartLimitOnOpen(admission, load);
  UpdateStanding(admission, load, now);
  admission.reported = load;
  const TimePoint previous_report_at =
      std::exchange(admission.reported_at, now);
  if (has_work &&
      (admission.passes.empty() || admission.passes.back().step != load.step)) {
    if (!admission.passes.empty() &&
        SecondsOf(now - admission.passes.back().at) <
            kShortPassFraction * SecondsOf(admission.settings.longest_pause)) {
      admission.start_limit = std::min(
          MaxLimitOf(admission), admission.start_limit + kLimitGrowthPerPass);
    }
    admission.passes.push_back({load.step, now});
  }
  while (admission.passes.size() > 3 &&
         now - admission.passes.front().at > kPassWindow) {
    admission.passes.pop_front();
  }
  std::erase_if(admission.reservations, [now](const auto& item) {
    return now - item.second > kReservationTimeout;
  });
  UpdateSlowness(admission, now);
  UpdateCosts(admission, now - previous_report_at, now);
}

void RecordServerEnd(RankAdmission& admission) {
  admission.reported.is_open = false;
}

void RecordReservation(RankAdmission& admission,
                       Reservation reservation,
                       TimePoint now) {
  admission.reservations[std::move(reservation)] = now;
  admission.last_trial_at = now;
  ++admission.costs.new_reservations;
}

void RecordOffer(RankAdmission& admission, TimePoint now) {
  while (!admission.open_offers.empty() &&
         now - admission.open_offers.front() > kOfferLifetime) {
    admission.open_offers.pop_front();
  }
  admission.open_offers.push_back(now);
}

void RemoveReservation(RankAdmission& admission,
                       const Reservation& reservation) {
  admission.reservations.erase(reservation);
}

uint32_t LoadOf(const RankAdmission& admission) {
  return admission.reported.running + admission.reported.queued +
         static_cast<uint32_t>(admission.reservations.size());
}

Duration PassOf(const RankAdmission& admission, TimePoint now) {
  if (admission.passes.empty()) {
    return Duration(0);
  }
  const ObservedPass& first = admission.passes.front();
  const ObservedPass& last = admission.passes.back();
  const Duration under_way = now - last.at;
  if (last.step <= first.step) {
    return under_way;
  }
  return std::max(under_way, (last.at - first.at) /
                                 static_cast<int64_t>(last.step - first.step));
}

double LimitOf(const RankAdmission& admission, TimePoint now) {
  const double min_pass = SecondsOf(admission.settings.min_pass);
  const double excess = SecondsOf(PassOf(admission, now)) - min_pass;
  if (excess <= 0 || admission.reported.running == 0) {
    return std::min(kInitialLimit, MaxLimitOf(admission));
  }
  const double steady_limit = admission.is_overloaded
                                  ? LimitAtShifts(admission, now)
                                  : MaxLimitOf(admission);
  const double max_limit =
      std::max(kMinLimit, std::min(admission.start_limit, steady_limit));
  const double per_stream = excess / admission.reported.running;
  const double pass_budget =
      kPassBudgetFraction * SecondsOf(admission.settings.longest_pause) -
      min_pass;
  return std::clamp(pass_budget / per_stream, kMinLimit, max_limit);
}

PermitOffer OfferOf(const RankAdmission& admission,
                    bool is_late,
                    TimePoint now) {
  PermitOffer offer{.load = LoadOf(admission),
                    .limit = LimitOf(admission, now),
                    .pass = PassOf(admission, now)};
  offer.is_slow =
      admission.slow_since && now - *admission.slow_since > kSlowDelay;
  const double load = static_cast<double>(offer.load) +
                      ExpectedReservations(admission, now) + 1;
  const auto longest = SecondsOf(admission.settings.longest_pause);
  const double pass = SecondsOf(offer.pass);
  double longest_pass = kPassBudgetFraction * longest;
  if (is_late && offer.is_slow) {
    offer.limit = MaxLimitOf(admission);
    longest_pass = kMaxSlowPassFactor * longest;
  } else if (is_late) {
    offer.limit *= kLateLimitFraction;
  }
  const bool has_permit =
      pass < longest_pass && load <= offer.limit &&
      (!admission.is_standing || is_trial_due(admission, now));
  offer.is_admitting = admission.reported.is_open &&
                       now - admission.reported_at < kMaxReportAge &&
                       admission.reported.pace < kMaxPaceForPermits &&
                       has_permit;
  return offer;
}

}  // namespace bramleyspan::admission
