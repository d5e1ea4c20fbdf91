#include "SimulatedLoad.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::admission {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(30);
constexpr size_t kProbes = 6;
constexpr Duration kFirstCopiesDelay = milliseconds(500);
constexpr Duration kFinalMapDelay = milliseconds(1500);
constexpr Duration kMaxWait = milliseconds(1400);
constexpr Duration kRetryDelay = milliseconds(2200);
// Passes take longer while ranks copy experts.
constexpr double kCopyingFactor = 1.15;
constexpr double kMillisecond = 1e-3;

Duration Milliseconds(double count) {
  return Duration(static_cast<int64_t>(count / kMillisecond));
}

}  // namespace

SimulatedLoad::SimulatedLoad(const LoadSettings& settings, uint64_t seed)
    : settings(settings), random(seed), admissions(settings.ranks) {
  for (RankAdmission& admission : this->admissions) {
    admission.settings = {
        .slots = settings.slots,
        .longest_pause = settings.longest_pause,
        .min_pass = Milliseconds(settings.stride *
                                 (settings.step_ms + settings.stream_ms))};
  }
}

void SimulatedLoad::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kTick;
    if (!this->is_open && this->now >= this->opens_at) {
      this->is_open = true;
      this->opened_at = this->now;
      ++this->epoch;
    }
    if (this->is_pass_running && this->now >= this->pass_ends_at) {
      this->EndPass();
    }
    if (!this->is_pass_running && this->is_open && !this->streams.empty()) {
      const Duration pass = this->NextPass();
      this->longest_pass = std::max(this->longest_pass, pass);
      this->pass_started_at = this->now;
      this->pass_ends_at = this->now + pass;
      this->is_pass_running = true;
      ++this->step;
    }
    if (this->now.time_since_epoch() % kReportInterval == Duration(0)) {
      this->Report();
    }
    this->Arrive();
    this->Serve();
  }
}

void SimulatedLoad::ReformUntil(TimePoint opens_at) {
  this->is_open = false;
  this->is_pass_running = false;
  this->opens_at = opens_at;
  for (const Stream& stream : this->streams) {
    Caller caller = stream.caller;
    caller.is_retry = true;
    caller.arrived_at = this->now;
    this->retrying.push_back(caller);
  }
  this->streams.clear();
  this->Report();
}

CallerCounts SimulatedLoad::Sum(size_t from_second, size_t to_second) const {
  CallerCounts sum;
  for (size_t at = from_second; at < std::min(to_second, this->counts.size());
       ++at) {
    sum.requests += this->counts[at].requests;
    sum.in_time += this->counts[at].in_time;
    sum.late += this->counts[at].late;
    sum.refused += this->counts[at].refused;
  }
  return sum;
}

bool SimulatedLoad::is_late(const Caller& caller) const {
  return caller.is_retry ||
         this->now - caller.arrived_at >= this->settings.objective / 2;
}

double SimulatedLoad::Skew() const {
  Duration since = this->now - this->opened_at;
  if (this->settings.shift_interval > Duration(0)) {
    since = since % this->settings.shift_interval;
  } else if (this->epoch == 1) {
    return this->settings.steady_skew;
  }
  if (since < kFirstCopiesDelay) {
    return this->settings.skew_after_shift;
  }
  return since < kFinalMapDelay ? this->settings.skew_with_first_copies
                                : this->settings.steady_skew;
}

Duration SimulatedLoad::NextPass() {
  const LoadSettings& load = this->settings;
  std::vector<double> rank_work(load.ranks, 0);
  double total_work = 0;
  bool has_writers = false;
  for (const Stream& stream : this->streams) {
    const bool is_writing = stream.unread_tokens <= 0;
    has_writers = has_writers || is_writing;
    const double work = is_writing
                            ? load.stride * load.stream_ms
                            : stream.unread_tokens / load.read_tokens_per_ms;
    rank_work[stream.rank] += work;
    total_work += work;
  }
  const double steps = has_writers ? load.stride : 1;
  const double slowest = *std::max_element(rank_work.begin(), rank_work.end());
  const double skew = this->Skew();
  const double copying = skew > load.steady_skew ? kCopyingFactor : 1;
  const double experts = load.expert_share * skew * total_work / load.ranks;
  const double other_work = (1 - load.expert_share) * slowest;
  return Milliseconds(copying * (steps * load.step_ms + other_work + experts));
}

void SimulatedLoad::EndPass() {
  this->is_pass_running = false;
  const bool is_long =
      this->now - this->pass_started_at > this->settings.longest_pause;
  for (Stream& stream : this->streams) {
    const bool is_new = stream.started >= this->pass_started_at;
    if (is_new) {
      continue;
    }
    if (stream.unread_tokens > 0) {
      stream.unread_tokens = 0;
      stream.is_late =
          this->now - stream.caller.requested_at > this->settings.objective;
      continue;
    }
    stream.is_late = stream.is_late || is_long;
    --stream.events_left;
  }
  std::erase_if(this->streams, [this](const Stream& stream) {
    if (stream.events_left > 0) {
      return false;
    }
    CallerCounts& counts = this->CountsOf(stream.caller);
    ++(stream.is_late ? counts.late : counts.in_time);
    return true;
  });
}

void SimulatedLoad::Arrive() {
  std::poisson_distribution<int> count(
      this->settings.arrivals_per_second *
      std::chrono::duration<double>(kTick).count());
  for (int arrived = count(this->random); arrived > 0; --arrived) {
    const Caller caller{.requested_at = this->now, .arrived_at = this->now};
    ++this->CountsOf(caller).requests;
    this->waiting.push_back(caller);
  }
  for (auto at = this->retrying.begin(); at != this->retrying.end();) {
    if (at->arrived_at > this->now) {
      ++at;
      continue;
    }
    this->waiting.push_back(*at);
    at = this->retrying.erase(at);
  }
}

void SimulatedLoad::Serve() {
  this->waiting.sort([this](const Caller& left, const Caller& right) {
    if (this->is_late(left) != this->is_late(right)) {
      return this->is_late(right);
    }
    return this->is_late(left) && left.is_retry && !right.is_retry;
  });
  // Gateways probe for a few requests at a time and do not repeat at once after
  // a refusal, so a tick ends its probes after this many failures.
  constexpr int kMaxFailures = 4;
  int failures = 0;
  for (auto at = this->waiting.begin(); at != this->waiting.end();) {
    if (failures < kMaxFailures && this->StartStream(*at)) {
      at = this->waiting.erase(at);
      continue;
    }
    ++failures;
    if (this->now - at->arrived_at >= kMaxWait) {
      this->HandleTimeout(*at);
      at = this->waiting.erase(at);
      continue;
    }
    ++at;
  }
}

bool SimulatedLoad::StartStream(const Caller& caller) {
  size_t best = this->admissions.size();
  double best_fullness = 0;
  for (size_t probe = 0; probe < kProbes; ++probe) {
    const size_t rank = this->random() % this->admissions.size();
    const PermitOffer offer =
        OfferOf(this->admissions[rank], this->is_late(caller), this->now);
    if (!offer.is_admitting) {
      continue;
    }
    RecordOffer(this->admissions[rank], this->now);
    const double fullness = (offer.load + 1) / offer.limit;
    if (best == this->admissions.size() || fullness < best_fullness) {
      best = rank;
      best_fullness = fullness;
    }
  }
  if (best == this->admissions.size()) {
    return false;
  }
  RecordReservation(this->admissions[best],
                    {.gateway = "g", .number = ++this->number}, this->now);
  RemoveReservation(this->admissions[best],
                    {.gateway = "g", .number = this->number});
  ++this->admissions[best].reported.running;
  std::exponential_distribution<double> tokens(1 /
                                               this->settings.prompt_tokens);
  this->streams.push_back({.caller = caller,
                           .rank = static_cast<uint32_t>(best),
                           .started = this->now,
                           .unread_tokens = 1 + tokens(this->random),
                           .events_left = this->settings.events});
  return true;
}

void SimulatedLoad::HandleTimeout(const Caller& caller) {
  if (caller.is_retry) {
    ++this->CountsOf(caller).refused;
    return;
  }
  Caller retry = caller;
  retry.is_retry = true;
  retry.arrived_at = this->now + kRetryDelay;
  this->retrying.push_back(retry);
}

void SimulatedLoad::Report() {
  std::vector<uint32_t> running(this->settings.ranks, 0);
  for (const Stream& stream : this->streams) {
    ++running[stream.rank];
  }
  for (size_t rank = 0; rank < this->admissions.size(); ++rank) {
    RecordReport(this->admissions[rank],
                 {.epoch = this->epoch,
                  .step = this->step,
                  .running = running[rank],
                  .is_open = this->is_open},
                 this->now);
  }
}

CallerCounts& SimulatedLoad::CountsOf(const Caller& caller) {
  const auto at =
      static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                              caller.requested_at.time_since_epoch())
                              .count());
  if (this->counts.size() <= at) {
    this->counts.resize(at + 1);
  }
  return this->counts[at];
}

}  // namespace bramleyspan::admission
