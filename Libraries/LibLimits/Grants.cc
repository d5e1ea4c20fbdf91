#include "LibLimits/Grants.h"

#include <xxhash.h>

#include <cmath>

namespace bramleyspan::limits {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void RecordUse(Share& share, double cost, TimePoint now) {
  // Use decays to 1/e of its value in a second.
  share.rate *= std::exp(
      -Seconds(std::chrono::duration_cast<Duration>(now - share.rate_at)));
  share.rate += cost;
  share.rate_at = now;
}

ShareDecision SpendFallback(Share& share, double cost, TimePoint now) {
  Fill(share.fallback, now);
  if (share.fallback.level < cost) {
    return {SpendOutcome::kRefuse, TimeUntil(share.fallback, cost)};
  }
  share.fallback.level -= cost;
  RecordUse(share, cost, now);
  return {.outcome = SpendOutcome::kAdmit};
}

}  // namespace

std::string AllocatorOf(std::string_view owner,
                        const std::vector<std::string>& entries) {
  std::string allocator;
  uint64_t highest = 0;
  const uint64_t seed = XXH64(owner.data(), owner.size(), 0);
  for (const std::string& entry : entries) {
    const uint64_t score = XXH64(entry.data(), entry.size(), seed);
    if (allocator.empty() || score > highest) {
      allocator = entry;
      highest = score;
    }
  }
  return allocator;
}

void SetLimit(Allocator& allocator,
              const GrantSettings& settings,
              double limit,
              size_t reached_entries,
              size_t all_entries,
              TimePoint now) {
  const bool is_new = allocator.bucket.rate == 0;
  Fill(allocator.bucket, now);
  const double share =
      std::min(1.0, static_cast<double>(reached_entries) /
                        static_cast<double>(std::max<size_t>(all_entries, 1)));
  allocator.bucket.rate = limit * share;
  // Room for at least one request; otherwise a small limit would admit none.
  allocator.bucket.capacity =
      std::max(1.0, allocator.bucket.rate * Seconds(settings.burst));
  allocator.bucket.level =
      is_new ? 0 : std::min(allocator.bucket.level, allocator.bucket.capacity);
}

double HandleGrantRequest(Allocator& allocator,
                          double wanted,
                          size_t requesters,
                          TimePoint now) {
  Fill(allocator.bucket, now);
  const double even = allocator.bucket.level /
                      static_cast<double>(std::max<size_t>(requesters, 1));
  // At least one whole unit: grants of less than one request would lie unused
  // at entry processes.
  const double most = std::max(1.0, std::floor(even));
  if (allocator.bucket.level < 1) {
    return 0;
  }
  return TakeUpTo(allocator.bucket, std::min(wanted, most), now);
}

Duration RetryAfterOf(const Allocator& allocator) {
  return TimeUntil(allocator.bucket, 1);
}

ShareDecision Spend(Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now) {
  if (now < share.granted_until && share.granted >= cost) {
    share.granted -= cost;
    RecordUse(share, cost, now);
    return {.outcome = SpendOutcome::kAdmit};
  }
  if (now < share.refused_until) {
    return {SpendOutcome::kRefuse, share.refused_until - now};
  }
  if (share.is_using_fallback &&
      now < share.requested_at + settings.request_retry_interval) {
    return SpendFallback(share, cost, now);
  }
  return {.outcome = SpendOutcome::kRequestGrant};
}

TimePoint HeldUntil(const Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now) {
  if (now < share.granted_until && share.granted >= cost) {
    return now;
  }
  if (now < share.refused_until) {
    return share.refused_until;
  }
  const TimePoint next_request =
      share.requested_at + settings.request_retry_interval;
  if (!share.is_using_fallback || now >= next_request) {
    return now;
  }
  TokenBucket fallback = share.fallback;
  Fill(fallback, now);
  return std::min(next_request, now + TimeUntil(fallback, cost));
}

double StartGrantRequest(Share& share,
                         const GrantSettings& settings,
                         double pending,
                         TimePoint now) {
  if (now >= share.granted_until) {
    share.granted = 0;
  }
  share.is_requesting = true;
  share.requested_at = now;
  ++share.request_number;
  const double ahead =
      std::floor(share.rate * Seconds(settings.request_horizon));
  return std::max(0.0, std::max(pending, ahead) - share.granted);
}

void HandleGrant(Share& share,
                 const GrantSettings& settings,
                 uint64_t request_number,
                 double granted,
                 Duration retry_after,
                 TimePoint now) {
  if (!share.is_requesting || request_number != share.request_number) {
    return;
  }
  share.is_requesting = false;
  // Failure: spending the grant and the fallback share together exceeds the
  // limit. A grant ends the use of the fallback share.
  share.is_using_fallback = false;
  share.granted += granted;
  if (granted <= 0) {
    share.refused_until = now + retry_after;
  }
  // Counted from the request, which is before the allocator took it from its
  // bucket.
  share.granted_until = share.requested_at + settings.grant_lifetime;
}

void HandleGrantRequestTimeout(Share& share,
                               const GrantSettings& settings,
                               double limit,
                               size_t all_entries,
                               TimePoint now) {
  share.is_requesting = false;
  ++share.request_number;
  const double rate =
      limit / static_cast<double>(std::max<size_t>(all_entries, 1));
  if (!share.is_using_fallback) {
    // The fallback share starts empty, because the last grant may have been
    // spent just now.
    share.fallback = {.rate = rate, .filled_at = now};
    share.is_using_fallback = true;
    // The start of the fallback share voids the grant, for the same reason.
    share.granted = 0;
  }
  Fill(share.fallback, now);
  share.fallback.rate = rate;
  share.fallback.capacity = std::max(1.0, rate * Seconds(settings.burst));
}

}  // namespace bramleyspan::limits
