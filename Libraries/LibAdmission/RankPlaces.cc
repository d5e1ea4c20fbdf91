#include "LibAdmission/RankPlaces.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::admission {

namespace {

constexpr double kLeastLimit = 2;
// Streams a rank runs at once before anything is known of its passes: a group
// that was formed anew has its first map.
constexpr double kFirstLimit = 5;
// From there a rank takes more with each pass that is shorter than this part of
// the longest pause.
constexpr double kStartGrowth = 0.25;
constexpr double kShortPart = 0.7;
// Reading prompts and preparing maps need room beside the running streams.
constexpr double kMostOfSlots = 0.7;
// What may run at least where jumps of demand make passes too long.
constexpr double kMostOfSlotsAtJumps = 0.5;
// Until a map that fits is there, passes after a jump may take this part of the
// longest pause.
constexpr double kJumpPart = 0.92;
// A rank is overloaded once it runs more than this part of what may run, until
// it runs less than the other part of what fits with jumps: what comes and goes
// in a moment is better let in.
constexpr double kOverloadedPart = 0.8;
constexpr double kRelievedPart = 0.7;
// A rank that runs less than this part of its slots has less than its group.
constexpr double kLeastRunningPart = 0.45;
// The part of the longest pause at which a pass is held, so that unusual ones
// stay under it too.
constexpr double kAimedPart = 0.85;
// Passes are averaged over this time.
constexpr Duration kPassWindow = std::chrono::milliseconds(300);
// A place whose stream was not told of any more is free again after this time:
// the gateway may have died, or its datagram was lost.
constexpr Duration kTakenAtMost = std::chrono::milliseconds(800);
// A report older than this says nothing of the rank.
constexpr Duration kStale = std::chrono::milliseconds(500);
// A jump of demand makes passes long until copies are there; only after this
// time is a group slow.
constexpr Duration kSlowAfter = std::chrono::milliseconds(700);
// A slow group takes late streams while its passes are no longer than this
// many times the longest pause: they have to end before their callers leave.
constexpr double kMostOfPause = 1.6;
// Late streams fill no more than this part of what may run, so that those in
// time find a place: gateways that have only late ones waiting would take every
// place that comes free, and in a minute all streams would be late.
constexpr double kLateLimitPart = 0.75;
// A rank that takes this many times as long as usual is left alone.
constexpr double kSlowPace = 1.5;

// A gateway asks so many ranks at once and takes one place.
constexpr double kAskedAtOnce = 6;
// A gateway decides within six milliseconds, and its word takes one or two.
constexpr Duration kOfferIsOpen = std::chrono::milliseconds(9);

double SecondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

double MostOf(const RankPlaces& places) {
  return std::max(kLeastLimit, kMostOfSlots * places.settings.slots);
}

// How long a pass took lately, without the one under way; zero if too few were
// seen to tell.
Duration MeanPass(const RankPlaces& places) {
  constexpr uint64_t kLeastPasses = 2;
  if (places.passes.empty()) {
    return Duration(0);
  }
  const SeenPass& first = places.passes.front();
  const SeenPass& last = places.passes.back();
  const uint64_t count = last.step - first.step;
  return count < kLeastPasses
             ? Duration(0)
             : (last.at - first.at) / static_cast<int64_t>(count);
}

// Streams that may run for passes to stay short enough after a jump too.
double LimitAtJumps(const RankPlaces& places, TimePoint now) {
  const double cost = DearestCostOf(places.costs, now);
  if (cost <= 0) {
    return MostOf(places);
  }
  const double aimed = kJumpPart * SecondsOf(places.settings.longest_pause) -
                       SecondsOf(places.settings.least_pass);
  const double least =
      std::max(kLeastLimit, kMostOfSlotsAtJumps * places.settings.slots);
  return std::clamp(aimed / cost, least, MostOf(places));
}

// Places that will be taken of the offers that are open.
double PromisedOf(const RankPlaces& places, TimePoint now) {
  const auto open =
      std::count_if(places.offered.begin(), places.offered.end(),
                    [now](TimePoint at) { return now - at <= kOfferIsOpen; });
  // While a group fills, the first ranks to open are the only ones to offer.
  const bool is_filling = places.start_limit < MostOf(places);
  return static_cast<double>(open) / (is_filling ? 1 : kAskedAtOnce);
}

// Failure: a group opens, its first passes hold no writers and are short, and
// all that waited is let in at once; a few passes later every stream is late.
void NoteStart(RankPlaces& places, const RankLoad& load) {
  const RankLoad& before = places.reported;
  const bool has_opened =
      load.is_open && (!before.is_open || load.epoch != before.epoch);
  if (has_opened) {
    places.start_limit = kFirstLimit;
  }
}

void NoteSlowness(RankPlaces& places, TimePoint now) {
  if (PassOf(places, now) < places.settings.longest_pause) {
    places.slow_since.reset();
  } else if (!places.slow_since) {
    places.slow_since = now;
  }
}

void NoteCostOfStreams(RankPlaces& places, Duration elapsed, TimePoint now) {
  NoteCost(places.costs,
           {.running = places.reported.running,
            .grown = MeanPass(places) - places.settings.least_pass,
            .elapsed = elapsed,
            .least_running = kLeastRunningPart * places.settings.slots},
           now);
  const double running = places.costs.usual_running;
  if (running > kOverloadedPart * MostOf(places)) {
    places.is_overloaded = true;
  } else if (running < kRelievedPart * LimitAtJumps(places, now)) {
    places.is_overloaded = false;
  }
}

}  // namespace

void NoteReport(RankPlaces& places, const RankLoad& load, TimePoint now) {
  const bool has_work = load.running + load.queued > 0;
  const bool goes_on = load.epoch == places.reported.epoch &&
                       load.step >= places.reported.step && has_work;
  if (!goes_on) {
    places.passes.clear();
  }
  NoteStart(places, load);
  places.reported = load;
  const TimePoint reported_before = std::exchange(places.reported_at, now);
  if (has_work &&
      (places.passes.empty() || places.passes.back().step != load.step)) {
    if (!places.passes.empty() &&
        SecondsOf(now - places.passes.back().at) <
            kShortPart * SecondsOf(places.settings.longest_pause)) {
      places.start_limit =
          std::min(MostOf(places), places.start_limit + kStartGrowth);
    }
    places.passes.push_back({load.step, now});
  }
  while (places.passes.size() > 3 &&
         now - places.passes.front().at > kPassWindow) {
    places.passes.pop_front();
  }
  std::erase_if(places.taken, [now](const auto& item) {
    return now - item.second > kTakenAtMost;
  });
  NoteSlowness(places, now);
  NoteCostOfStreams(places, now - reported_before, now);
}

void NoteTaken(RankPlaces& places, TakenPlace place, TimePoint now) {
  places.taken[std::move(place)] = now;
  ++places.costs.newly_taken;
}

void NoteOffered(RankPlaces& places, TimePoint now) {
  while (!places.offered.empty() &&
         now - places.offered.front() > kOfferIsOpen) {
    places.offered.pop_front();
  }
  places.offered.push_back(now);
}

void NoteSettled(RankPlaces& places, const TakenPlace& place) {
  places.taken.erase(place);
}

uint32_t LoadOf(const RankPlaces& places) {
  return places.reported.running + places.reported.queued +
         static_cast<uint32_t>(places.taken.size());
}

Duration PassOf(const RankPlaces& places, TimePoint now) {
  if (places.passes.empty()) {
    return Duration(0);
  }
  const SeenPass& first = places.passes.front();
  const SeenPass& last = places.passes.back();
  const Duration under_way = now - last.at;
  if (last.step <= first.step) {
    return under_way;
  }
  return std::max(under_way, (last.at - first.at) /
                                 static_cast<int64_t>(last.step - first.step));
}

double LimitOf(const RankPlaces& places, TimePoint now) {
  const double least_pass = SecondsOf(places.settings.least_pass);
  const double grown = SecondsOf(PassOf(places, now)) - least_pass;
  if (grown <= 0 || places.reported.running == 0) {
    return std::min(kFirstLimit, MostOf(places));
  }
  const double settled =
      places.is_overloaded ? LimitAtJumps(places, now) : MostOf(places);
  const double most =
      std::max(kLeastLimit, std::min(places.start_limit, settled));
  const double per_stream = grown / places.reported.running;
  const double aimed =
      kAimedPart * SecondsOf(places.settings.longest_pause) - least_pass;
  return std::clamp(aimed / per_stream, kLeastLimit, most);
}

PlaceOffer OfferOf(const RankPlaces& places, bool is_late, TimePoint now) {
  PlaceOffer offer{.load = LoadOf(places),
                   .limit = LimitOf(places, now),
                   .pass = PassOf(places, now)};
  offer.is_slow = places.slow_since && now - *places.slow_since > kSlowAfter;
  const double load =
      static_cast<double>(offer.load) + PromisedOf(places, now) + 1;
  const auto longest = SecondsOf(places.settings.longest_pause);
  const double pass = SecondsOf(offer.pass);
  double longest_pass = kAimedPart * longest;
  if (is_late && offer.is_slow) {
    offer.limit = MostOf(places);
    longest_pass = kMostOfPause * longest;
  } else if (is_late) {
    offer.limit *= kLateLimitPart;
  }
  const bool has_place = pass < longest_pass && load <= offer.limit;
  offer.is_admitting = places.reported.is_open &&
                       now - places.reported_at < kStale &&
                       places.reported.pace < kSlowPace && has_place;
  return offer;
}

}  // namespace bramleyspan::admission
