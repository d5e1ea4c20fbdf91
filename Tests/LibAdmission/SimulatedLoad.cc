#include "SimulatedLoad.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::admission {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(30);
constexpr size_t kProbes = 6;
constexpr Duration kFirstCopies = milliseconds(500);
constexpr Duration kFittingMap = milliseconds(1500);
constexpr Duration kLongestWait = milliseconds(1400);
constexpr Duration kReturnsAfter = milliseconds(2200);
// Passes take longer while ranks copy experts.
constexpr double kCopyingPart = 1.15;
constexpr double kMillisecond = 1e-3;

Duration Milliseconds(double count) {
  return Duration(static_cast<int64_t>(count / kMillisecond));
}

}  // namespace

SimulatedLoad::SimulatedLoad(const LoadSettings& settings, uint64_t seed)
    : settings(settings), random(seed), places(settings.ranks) {
  for (RankPlaces& place : this->places) {
    place.settings = {
        .slots = settings.slots,
        .longest_pause = settings.longest_pause,
        .least_pass = Milliseconds(settings.stride *
                                   (settings.step_ms + settings.stream_ms))};
  }
}

void SimulatedLoad::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kTick;
    if (!this->is_open && this->now >= this->opens) {
      this->is_open = true;
      this->opened = this->now;
      ++this->epoch;
    }
    if (this->is_passing && this->now >= this->pass_ends) {
      this->EndPass();
    }
    if (!this->is_passing && this->is_open && !this->streams.empty()) {
      const Duration pass = this->NextPass();
      this->longest_pass = std::max(this->longest_pass, pass);
      this->pass_began = this->now;
      this->pass_ends = this->now + pass;
      this->is_passing = true;
      ++this->step;
    }
    if (this->now.time_since_epoch() % kReportInterval == Duration(0)) {
      this->Report();
    }
    this->Arrive();
    this->Serve();
  }
}

void SimulatedLoad::BreakUntil(TimePoint opens) {
  this->is_open = false;
  this->is_passing = false;
  this->opens = opens;
  for (const Stream& stream : this->streams) {
    Caller caller = stream.caller;
    caller.is_returning = true;
    caller.came = this->now;
    this->returning.push_back(caller);
  }
  this->streams.clear();
  this->Report();
}

Second SimulatedLoad::Sum(size_t from_second, size_t to_second) const {
  Second sum;
  for (size_t at = from_second; at < std::min(to_second, this->seconds.size());
       ++at) {
    sum.asked += this->seconds[at].asked;
    sum.in_time += this->seconds[at].in_time;
    sum.late += this->seconds[at].late;
    sum.refused += this->seconds[at].refused;
  }
  return sum;
}

bool SimulatedLoad::is_late(const Caller& caller) const {
  return caller.is_returning ||
         this->now - caller.came >= this->settings.objective / 2;
}

double SimulatedLoad::Skew() const {
  Duration since = this->now - this->opened;
  if (this->settings.jump_interval > Duration(0)) {
    since = since % this->settings.jump_interval;
  } else if (this->epoch == 1) {
    return this->settings.skew_at_rest;
  }
  if (since < kFirstCopies) {
    return this->settings.skew_of_jump;
  }
  return since < kFittingMap ? this->settings.skew_of_first_copies
                             : this->settings.skew_at_rest;
}

Duration SimulatedLoad::NextPass() {
  const LoadSettings& load = this->settings;
  std::vector<double> own(load.ranks, 0);
  double all = 0;
  bool has_writers = false;
  for (const Stream& stream : this->streams) {
    const bool is_writing = stream.unread <= 0;
    has_writers = has_writers || is_writing;
    const double work = is_writing ? load.stride * load.stream_ms
                                   : stream.unread / load.read_tokens_per_ms;
    own[stream.rank] += work;
    all += work;
  }
  const double steps = has_writers ? load.stride : 1;
  const double slowest = *std::max_element(own.begin(), own.end());
  const double skew = this->Skew();
  const double copying = skew > load.skew_at_rest ? kCopyingPart : 1;
  const double experts = load.expert_share * skew * all / load.ranks;
  const double apart = (1 - load.expert_share) * slowest;
  return Milliseconds(copying * (steps * load.step_ms + apart + experts));
}

void SimulatedLoad::EndPass() {
  this->is_passing = false;
  const bool is_long =
      this->now - this->pass_began > this->settings.longest_pause;
  for (Stream& stream : this->streams) {
    const bool is_new = stream.started >= this->pass_began;
    if (is_new) {
      continue;
    }
    if (stream.unread > 0) {
      stream.unread = 0;
      stream.is_late =
          this->now - stream.caller.asked > this->settings.objective;
      continue;
    }
    stream.is_late = stream.is_late || is_long;
    --stream.events_left;
  }
  std::erase_if(this->streams, [this](const Stream& stream) {
    if (stream.events_left > 0) {
      return false;
    }
    Second& second = this->SecondOf(stream.caller);
    ++(stream.is_late ? second.late : second.in_time);
    return true;
  });
}

void SimulatedLoad::Arrive() {
  std::poisson_distribution<int> count(
      this->settings.arrivals_per_second *
      std::chrono::duration<double>(kTick).count());
  for (int arrived = count(this->random); arrived > 0; --arrived) {
    const Caller caller{.asked = this->now, .came = this->now};
    ++this->SecondOf(caller).asked;
    this->waiting.push_back(caller);
  }
  for (auto at = this->returning.begin(); at != this->returning.end();) {
    if (at->came > this->now) {
      ++at;
      continue;
    }
    this->waiting.push_back(*at);
    at = this->returning.erase(at);
  }
}

void SimulatedLoad::Serve() {
  this->waiting.sort([this](const Caller& left, const Caller& right) {
    if (this->is_late(left) != this->is_late(right)) {
      return this->is_late(right);
    }
    return this->is_late(left) && left.is_returning && !right.is_returning;
  });
  // A few gateways ask at a time, and none again at once after a refusal.
  constexpr int kMostFailures = 4;
  int failures = 0;
  for (auto at = this->waiting.begin(); at != this->waiting.end();) {
    if (failures < kMostFailures && this->Place(*at)) {
      at = this->waiting.erase(at);
      continue;
    }
    ++failures;
    if (this->now - at->came >= kLongestWait) {
      this->GiveUp(*at);
      at = this->waiting.erase(at);
      continue;
    }
    ++at;
  }
}

bool SimulatedLoad::Place(const Caller& caller) {
  size_t best = this->places.size();
  double best_fullness = 0;
  for (size_t probe = 0; probe < kProbes; ++probe) {
    const size_t rank = this->random() % this->places.size();
    const PlaceOffer offer =
        OfferOf(this->places[rank], this->is_late(caller), this->now);
    if (!offer.is_admitting) {
      continue;
    }
    NoteOffered(this->places[rank], this->now);
    const double fullness = (offer.load + 1) / offer.limit;
    if (best == this->places.size() || fullness < best_fullness) {
      best = rank;
      best_fullness = fullness;
    }
  }
  if (best == this->places.size()) {
    return false;
  }
  NoteTaken(this->places[best], {.gateway = "g", .number = ++this->number},
            this->now);
  NoteSettled(this->places[best], {.gateway = "g", .number = this->number});
  ++this->places[best].reported.running;
  std::exponential_distribution<double> tokens(1 /
                                               this->settings.prompt_tokens);
  this->streams.push_back({.caller = caller,
                           .rank = static_cast<uint32_t>(best),
                           .started = this->now,
                           .unread = 1 + tokens(this->random),
                           .events_left = this->settings.events});
  return true;
}

void SimulatedLoad::GiveUp(const Caller& caller) {
  if (caller.is_returning) {
    ++this->SecondOf(caller).refused;
    return;
  }
  Caller back = caller;
  back.is_returning = true;
  back.came = this->now + kReturnsAfter;
  this->returning.push_back(back);
}

void SimulatedLoad::Report() {
  std::vector<uint32_t> running(this->settings.ranks, 0);
  for (const Stream& stream : this->streams) {
    ++running[stream.rank];
  }
  for (size_t rank = 0; rank < this->places.size(); ++rank) {
    NoteReport(this->places[rank],
               {.epoch = this->epoch,
                .step = this->step,
                .running = running[rank],
                .is_open = this->is_open},
               this->now);
  }
}

Second& SimulatedLoad::SecondOf(const Caller& caller) {
  const auto at =
      static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                              caller.asked.time_since_epoch())
                              .count());
  if (this->seconds.size() <= at) {
    this->seconds.resize(at + 1);
  }
  return this->seconds[at];
}

}  // namespace bramleyspan::admission
