#include "LibLimits/Grants.h"

#include <xxhash.h>

#include <cmath>

namespace bramleyspan::limits {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void NoteUse(Share& share, double cost, TimePoint now) {
  // Use counts for a second.
  share.rate *= std::exp(
      -Seconds(std::chrono::duration_cast<Duration>(now - share.rate_at)));
  share.rate += cost;
  share.rate_at = now;
}

ShareDecision SpendFloor(Share& share, double cost, TimePoint now) {
  Fill(share.floor, now);
  if (share.floor.level < cost) {
    return {Admittance::kRefuse, TimeUntil(share.floor, cost)};
  }
  share.floor.level -= cost;
  return {.admittance = Admittance::kAdmit};
}

}  // namespace

std::string KeeperOf(std::string_view owner,
                     const std::vector<std::string>& entries) {
  std::string keeper;
  uint64_t highest = 0;
  const uint64_t seed = XXH64(owner.data(), owner.size(), 0);
  for (const std::string& entry : entries) {
    const uint64_t score = XXH64(entry.data(), entry.size(), seed);
    if (keeper.empty() || score > highest) {
      keeper = entry;
      highest = score;
    }
  }
  return keeper;
}

void SetLimit(Keeper& keeper,
              const GrantSettings& settings,
              double limit,
              size_t reached_entries,
              size_t all_entries,
              TimePoint now) {
  const bool is_new = keeper.bucket.rate == 0;
  Fill(keeper.bucket, now);
  const double share =
      std::min(1.0, static_cast<double>(reached_entries) /
                        static_cast<double>(std::max<size_t>(all_entries, 1)));
  keeper.bucket.rate = limit * share;
  // Room for one request at least, or a small limit would never be reached.
  keeper.bucket.capacity =
      std::max(1.0, keeper.bucket.rate * Seconds(settings.burst));
  keeper.bucket.level =
      is_new ? 0 : std::min(keeper.bucket.level, keeper.bucket.capacity);
}

double HandleAsk(Keeper& keeper, double wanted, size_t askers, TimePoint now) {
  Fill(keeper.bucket, now);
  const double even =
      keeper.bucket.level / static_cast<double>(std::max<size_t>(askers, 1));
  // Fractions would lie about where no request can use them.
  const double most = std::max(1.0, std::floor(even));
  if (keeper.bucket.level < 1) {
    return 0;
  }
  return TakeUpTo(keeper.bucket, std::min(wanted, most), now);
}

Duration RetryAfterOf(const Keeper& keeper) {
  return TimeUntil(keeper.bucket, 1);
}

ShareDecision Spend(Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now) {
  NoteUse(share, cost, now);
  if (now < share.granted_until && share.granted >= cost) {
    share.granted -= cost;
    return {.admittance = Admittance::kAdmit};
  }
  if (now < share.refused_until) {
    return {Admittance::kRefuse, share.refused_until - now};
  }
  if (share.is_on_floor && now < share.asked_at + settings.ask_again) {
    return SpendFloor(share, cost, now);
  }
  return {.admittance = Admittance::kAsk};
}

double StartAsk(Share& share,
                const GrantSettings& settings,
                double pending,
                TimePoint now) {
  if (now >= share.granted_until) {
    share.granted = 0;
  }
  share.is_asking = true;
  share.asked_at = now;
  ++share.ask;
  const double ahead = std::floor(share.rate * Seconds(settings.ask_ahead));
  return std::max(0.0, std::max(pending, ahead) - share.granted);
}

void HandleGrant(Share& share,
                 const GrantSettings& settings,
                 uint64_t ask,
                 double granted,
                 Duration retry_after,
                 TimePoint now) {
  if (!share.is_asking || ask != share.ask) {
    return;
  }
  share.is_asking = false;
  // Never both: with a grant the floor stops.
  share.is_on_floor = false;
  share.granted += granted;
  if (granted <= 0) {
    share.refused_until = now + retry_after;
  }
  // Counted from the ask, which is before the keeper let go of it.
  share.granted_until = share.asked_at + settings.grant_lifetime;
}

void HandleAskTimeout(Share& share,
                      const GrantSettings& settings,
                      double limit,
                      size_t all_entries,
                      TimePoint now) {
  share.is_asking = false;
  ++share.ask;
  const double rate =
      limit / static_cast<double>(std::max<size_t>(all_entries, 1));
  if (!share.is_on_floor) {
    // The floor starts empty: what was granted last may have been used just
    // now.
    share.floor = {.rate = rate, .filled_at = now};
    share.is_on_floor = true;
    // Never both: with the floor the grant is void.
    share.granted = 0;
  }
  Fill(share.floor, now);
  share.floor.rate = rate;
  share.floor.capacity = std::max(1.0, rate * Seconds(settings.burst));
}

}  // namespace bramleyspan::limits
