#include "LibAdmission/RankPlaces.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::admission {

namespace {

// Streams a rank runs at once before anything is known of its passes.
constexpr double kFirstLimit = 5;
constexpr double kLeastLimit = 2;
// Reading prompts and preparing maps need room beside the running streams.
constexpr double kMostOfSlots = 0.7;
// The part of the longest pause at which a pass is held, so that unusual ones
// stay under it too.
constexpr double kAimedPart = 0.85;
constexpr double kRaise = 1.04;
constexpr double kLower = 0.9;
constexpr double kGain = 0.25;
constexpr Duration kAdjustInterval = std::chrono::milliseconds(250);
// The limit is raised only where it is used: an idle group's short passes say
// nothing of a full one's.
constexpr double kUsedPart = 0.75;
// Passes are averaged over this time.
constexpr Duration kPassWindow = std::chrono::milliseconds(300);
// A place whose stream was not told of any more is free again after this time:
// the gateway may have died, or its datagram was lost.
constexpr Duration kTakenAtMost = std::chrono::milliseconds(800);
// A report older than this says nothing of the rank.
constexpr Duration kStale = std::chrono::milliseconds(500);

Duration Aimed(const RankPlaces& places) {
  return std::chrono::duration_cast<Duration>(places.settings.longest_pause *
                                              kAimedPart);
}

void AdjustLimit(RankPlaces& places, TimePoint now) {
  const double most =
      std::max(kLeastLimit, kMostOfSlots * places.settings.slots);
  if (places.limit == 0) {
    places.limit = std::min(kFirstLimit, most);
    places.adjusted_at = now;
  }
  if (now - places.adjusted_at < kAdjustInterval) {
    return;
  }
  places.adjusted_at = now;
  const Duration pass = PassOf(places, now);
  if (pass == Duration(0)) {
    return;
  }
  const double room = 1 - std::chrono::duration<double>(pass) /
                              std::chrono::duration<double>(Aimed(places));
  double factor = std::clamp(1 + kGain * room, kLower, kRaise);
  const bool is_used =
      static_cast<double>(LoadOf(places)) >= kUsedPart * places.limit;
  if (factor > 1 && !is_used) {
    factor = 1;
  }
  places.limit = std::clamp(places.limit * factor, kLeastLimit, most);
}

}  // namespace

void NoteReport(RankPlaces& places, const RankLoad& load, TimePoint now) {
  const bool goes_on = load.epoch == places.reported.epoch &&
                       load.step >= places.reported.step &&
                       load.running + load.queued > 0;
  if (!goes_on) {
    places.passes.clear();
  }
  places.reported = load;
  places.reported_at = now;
  if (load.running + load.queued > 0 &&
      (places.passes.empty() || places.passes.back().step != load.step)) {
    places.passes.push_back({load.step, now});
  }
  while (places.passes.size() > 2 &&
         now - places.passes.front().at > kPassWindow) {
    places.passes.pop_front();
  }
  std::erase_if(places.taken, [now](const auto& item) {
    return now - item.second > kTakenAtMost;
  });
  AdjustLimit(places, now);
}

void NoteTaken(RankPlaces& places, TakenPlace place, TimePoint now) {
  places.taken[std::move(place)] = now;
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

PlaceOffer OfferOf(const RankPlaces& places, TimePoint now) {
  PlaceOffer offer{.load = LoadOf(places),
                   .limit = places.limit,
                   .pass = PassOf(places, now)};
  offer.is_admitting = places.reported.is_open &&
                       now - places.reported_at < kStale &&
                       offer.pass < Aimed(places) &&
                       static_cast<double>(offer.load) + 1 <= offer.limit;
  return offer;
}

}  // namespace bramleyspan::admission
