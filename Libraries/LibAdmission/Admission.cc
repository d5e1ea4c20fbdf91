#include "LibAdmission/Admission.h"

#include <algorithm>
#include <cmath>

namespace bramleyspan::admission {

namespace {

// The weight of a new sample in the decayed sums.
constexpr double kSampleWeight = 1.0 / 32;

Duration Microseconds(double count) {
  return Duration(static_cast<int64_t>(std::ceil(count)));
}

void AddDecayed(double& sum, double& weight, double value, double count) {
  sum = sum * (1 - kSampleWeight) + value;
  weight = weight * (1 - kSampleWeight) + count;
}

// Returns the mean time from start to end of a request, in microseconds. The
// mean age of running requests is a lower bound: when an engine slows down
// nothing ends for a while, and a mean over ended requests alone would keep the
// old, short value.
double MeanService(const Admission& admission, TimePoint now) {
  const Measurements& measurements = admission.measurements;
  const double ended =
      measurements.service_count > 0
          ? measurements.service_microseconds / measurements.service_count
          : static_cast<double>(admission.settings.initial_service.count());
  if (admission.running.empty()) {
    return ended;
  }
  double ages = 0;
  for (const auto& [id, running] : admission.running) {
    ages += static_cast<double>((now - running.started).count());
  }
  return std::max(ended, ages / static_cast<double>(admission.running.size()));
}

uint32_t UncachedTokens(const Admission& admission, const Request& request) {
  const uint32_t cached = CachedTokens(admission.prefixes, request.prefix);
  const uint32_t tokens = std::max(request.prompt_tokens, 1U);
  return tokens > cached ? tokens - cached : 1;
}

// Returns the expected time from start to the first token, in microseconds.
double MeanPrefill(const Admission& admission, const Request& request) {
  const Duration expected = Predict(admission.measurements.prefill,
                                    UncachedTokens(admission, request));
  return static_cast<double>(expected.count());
}

uint32_t UsableSlots(const Admission& admission) {
  return admission.is_stalled ? 1 : std::max(admission.settings.slots, 1U);
}

double DrainInterval(const Admission& admission, TimePoint now) {
  return MeanService(admission, now) / std::max(admission.settings.slots, 1U);
}

Duration TimeSinceProgress(const Admission& admission, TimePoint now) {
  if (admission.running.empty()) {
    return Duration::zero();
  }
  TimePoint oldest = now;
  for (const auto& [id, running] : admission.running) {
    oldest = std::min(oldest, running.started);
  }
  return now - std::max(oldest, admission.last_progress);
}

// Returns how long the back end has been stalled; zero if it is not. A frozen
// engine sends no event, so a stall shows only as a gap much longer than the
// expected interval between ends. The best guess of a stall's remaining time is
// the time it has lasted.
Duration StallDuration(const Admission& admission, TimePoint now) {
  const Duration elapsed = TimeSinceProgress(admission, now);
  const auto running =
      static_cast<double>(std::max<size_t>(admission.running.size(), 1));
  const double expected_interval =
      MeanService(admission, admission.last_progress) / running;
  const Duration bound = std::max(
      admission.settings.min_stall,
      Microseconds(admission.settings.stall_factor * expected_interval));
  return elapsed > bound ? elapsed : Duration::zero();
}

void DetectStall(Admission& admission, TimePoint now) {
  if (StallDuration(admission, now) > Duration::zero()) {
    admission.is_stalled = true;
  }
}

double WaitAt(const Admission& admission,
              catalogue::ServiceClass service_class,
              size_t position,
              double drain_interval) {
  const auto busy = static_cast<double>(admission.running.size());
  const double free_slots = UsableSlots(admission) - busy;
  return WaitMicroseconds(admission.queues, service_class, position, free_slots,
                          drain_interval);
}

// Returns the delay after which a refused caller should retry. Retries are
// spread over the time that the queue needs to serve them; equal delays would
// make all callers retry in the same second.
Duration RetryAfter(Admission& admission, Duration excess, TimePoint now) {
  admission.retries_until = std::max(admission.retries_until, now + excess) +
                            Microseconds(DrainInterval(admission, now));
  const TimePoint latest = now + admission.settings.max_retry_after;
  admission.retries_until = std::min(admission.retries_until, latest);
  return admission.retries_until - now;
}

void Start(Admission& admission, const Request& request, TimePoint now) {
  const uint32_t uncached = UncachedTokens(admission, request);
  RecordPrefix(
      admission.prefixes, request.prefix,
      std::min(request.prompt_tokens, admission.settings.prefix_tokens));
  admission.running.emplace(
      request.id,
      Running{.request = request, .started = now, .uncached_tokens = uncached});
}

void RefuseLate(Admission& admission, TimePoint now, Effects& effects) {
  const double drain_interval = DrainInterval(admission, now);
  const Duration stall = StallDuration(admission, now);
  for (auto& queue : admission.queues.waiting) {
    size_t position = 0;
    std::erase_if(queue, [&](const Request& request) {
      const Duration needed =
          stall + Microseconds(WaitAt(admission, request.service_class,
                                      position, drain_interval) +
                               MeanPrefill(admission, request));
      if (now + needed <= request.deadline) {
        ++position;
        return false;
      }
      const Duration excess = now + needed - request.deadline;
      effects.refuse.push_back(
          {request.id, RetryAfter(admission, excess, now)});
      return true;
    });
  }
}

void StartWaiting(Admission& admission, TimePoint now, Effects& effects) {
  while (admission.running.size() < UsableSlots(admission)) {
    const auto next = Pop(admission.queues);
    if (!next) {
      return;
    }
    Start(admission, *next, now);
    effects.start.push_back(next->id);
  }
}

}  // namespace

Estimate EstimateFor(const Admission& admission,
                     const Request& request,
                     TimePoint now) {
  const size_t position =
      admission.queues.waiting[IndexOf(request.service_class)].size();
  const double wait = WaitAt(admission, request.service_class, position,
                             DrainInterval(admission, now));
  const size_t in_flight =
      admission.running.size() + CountWaiting(admission.queues);
  return {.first_token = StallDuration(admission, now) +
                         Microseconds(wait + MeanPrefill(admission, request)),
          .in_flight = static_cast<uint32_t>(in_flight),
          .cached_tokens = CachedTokens(admission.prefixes, request.prefix)};
}

Decision Decide(Admission& admission, const Request& request, TimePoint now) {
  DetectStall(admission, now);
  const Duration needed = EstimateFor(admission, request, now).first_token;
  const auto time_left = static_cast<double>((request.deadline - now).count());
  const Duration allowed =
      Microseconds(time_left * admission.settings.admitted_share);
  if (needed > allowed) {
    return {.verdict = Verdict::kRefuse,
            .retry_after = RetryAfter(admission, needed - allowed, now)};
  }
  RecordAdmitted(admission.queues, request.service_class, now);
  if (admission.running.size() < UsableSlots(admission) &&
      CountWaiting(admission.queues) == 0) {
    Start(admission, request, now);
    return {.verdict = Verdict::kStart};
  }
  Push(admission.queues, request);
  return {.verdict = Verdict::kWait};
}

void HandleProgress(Admission& admission, uint64_t id, TimePoint now) {
  admission.last_progress = now;
  admission.is_stalled = false;
  const auto found = admission.running.find(id);
  if (found == admission.running.end() || found->second.has_first_token) {
    return;
  }
  Running& running = found->second;
  running.has_first_token = true;
  AddSample(admission.measurements.prefill, running.uncached_tokens,
            now - running.started);
}

Effects HandleEnd(Admission& admission,
                  uint64_t id,
                  bool is_measured,
                  TimePoint now) {
  const auto found = admission.running.find(id);
  if (found != admission.running.end()) {
    if (is_measured) {
      HandleProgress(admission, id, now);
      AddDecayed(admission.measurements.service_microseconds,
                 admission.measurements.service_count,
                 static_cast<double>((now - found->second.started).count()), 1);
    }
    admission.running.erase(found);
  }
  return Review(admission, now);
}

bool Withdraw(Admission& admission, uint64_t id) {
  return Remove(admission.queues, id);
}

Effects Review(Admission& admission, TimePoint now) {
  Effects effects;
  DetectStall(admission, now);
  RefuseLate(admission, now, effects);
  StartWaiting(admission, now, effects);
  return effects;
}

}  // namespace bramleyspan::admission
